package configuration

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// Put replaces the configuration by body if version ifMatch is current. If the same update was applied before, it is accepted
// again, even if later updates have replaced it.
func (c *Configurator) Put(ctx context.Context, ifMatch uint64, body []byte) Outcome {
	request := newUpdateRequest(ifMatch, body)
	if applied, found := c.cached().findApplied(request); found {
		return acceptedOutcome(applied.Version) // before validation: an earlier release may have applied what this one rejects
	}
	parsed, err := Parse(body)
	if err != nil {
		return invalidOutcome(err)
	}
	request.version, request.parsed = parsed.Version, parsed
	if request.version <= ifMatch {
		return invalidOutcome(versionNotAboveError(request.version, ifMatch))
	}
	select {
	case c.changeSlot <- struct{}{}:
		defer func() { <-c.changeSlot }()
	case <-ctx.Done():
		return Outcome{Kind: Unavailable, Err: fmt.Errorf("wait for earlier changes: %w", ctx.Err())}
	}
	if ifMatch < c.cached().Version {
		return c.evaluateOutdated(ctx, request)
	}
	return c.applyThroughRegister(ctx, request)
}

// evaluateOutdated determines the outcome of an update that is based on a replaced version. Versions only increase, so the update
// can no longer be applied, and the history shows whether it was applied earlier. As for every rejection, the state is read from a
// majority after the update has arrived, so a partitioned node rejects nothing. A read, unlike a change, does not compete with
// updates that can be applied.
func (c *Configurator) evaluateOutdated(ctx context.Context, request updateRequest) Outcome {
	if _, _, err := c.Read(ctx); err != nil {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: err}
	}
	return c.cached().evaluate(request)
}

// applyThroughRegister applies an update by a change of the register. To reject the update, it keeps the value unchanged instead
// of returning an error from the change. The rejection is then based on a committed value, not on one that may still be lost.
func (c *Configurator) applyThroughRegister(ctx context.Context, request updateRequest) Outcome {
	start := time.Now()
	previousVersion := c.cached().Version
	value, err := c.options.Register.Change(ctx, func(current []byte) ([]byte, error) {
		state, err := DecodeState(current)
		if err != nil {
			return nil, err
		}
		if state.evaluate(request).Kind != Undecided {
			return current, nil
		}
		directory, err := c.directoryOf(state)
		if err != nil {
			return nil, err
		}
		return state.apply(request, directory.HistoriesAfter(request.parsed, c.options.Retired)).Encode()
	})
	if err != nil {
		return registerFailureOutcome(err)
	}
	committed, err := DecodeState(value)
	if err != nil {
		return Outcome{Kind: Unclear, Err: err}
	}
	c.adopt(value, committed)
	c.recordRead(start)
	if committed.Version > previousVersion {
		c.announceToMembers(committed.Version) //nolint:contextcheck // announcements continue after the request has ended
	}
	return committed.evaluate(request)
}

// registerFailureOutcome returns the outcome of an update whose register change failed.
func registerFailureOutcome(err error) Outcome {
	wrapped := fmt.Errorf("change the configuration: %w", err)
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: wrapped}
	}
	return Outcome{Kind: Unclear, Err: wrapped}
}
