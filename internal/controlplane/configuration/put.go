package configuration

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// Put applies an update: the body replaces the configuration if version ifMatch is current. An update that was applied before is
// accepted again, also after later ones.
func (c *Configurator) Put(ctx context.Context, ifMatch uint64, body []byte) Outcome {
	request := newUpdateRequest(ifMatch, body)
	if applied, found := c.cached().findApplied(request); found {
		return acceptedOutcome(applied.Version) // before the checks: those of an earlier release may have let it pass
	}
	parsed, err := Parse(body)
	if err != nil {
		return invalidOutcome(err)
	}
	request.version = parsed.Version
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

// evaluateOutdated answers an update of a version that was replaced. Versions only rise: it cannot be applied any more, and the
// history shows whether it was. The state is read from a majority after the update has arrived, as for every refusal: a node that
// is partitioned off refuses nothing. A read, unlike a change, does not compete with updates that may be applied.
func (c *Configurator) evaluateOutdated(ctx context.Context, request updateRequest) Outcome {
	if _, _, err := c.Read(ctx); err != nil {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: err}
	}
	return c.cached().evaluate(request)
}

// applyThroughRegister applies an update by a change of the register. A refusal leaves the value as it is instead of ending the
// change with an error, so that it rests on a committed value and not on a change that may still be lost.
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
		return state.apply(request).Encode()
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
		c.announceToMembers(committed.Version) //nolint:contextcheck // announcements outlast the request
	}
	return committed.evaluate(request)
}

// registerFailure is the outcome of an update whose change of the register failed.
func registerFailureOutcome(err error) Outcome {
	wrapped := fmt.Errorf("change the configuration: %w", err)
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: wrapped}
	}
	return Outcome{Kind: Unclear, Err: wrapped}
}
