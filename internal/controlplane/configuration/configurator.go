package configuration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/wakeup"
)

const (
	// readInterval is the pause between quorum reads. It bounds how long a change stays unknown here whose taker died
	// before it told anyone.
	readInterval = 450 * time.Millisecond
	// readRetry is the pause after a read that reached no majority.
	readRetry = 200 * time.Millisecond
	// readTimeout bounds one quorum read.
	readTimeout = 1500 * time.Millisecond
	// FreshAge is the age up to which what is known counts as current. One quorum read may fail meanwhile.
	FreshAge = readInterval + readTimeout
)

// Register is the replicated compare-and-swap register that holds the State.
type Register interface {
	// Change replaces the value by what modify makes of it, in quorum rounds, and returns what modify made once a
	// majority holds it. The value is empty before the first change, and nobody modifies it in place. Change may call
	// modify several times, each time with the value that it found; where modify returns that value unchanged, it must
	// be one that a majority holds. An rpcerror.NotExecuted error means that no change was made; any other,
	// that it may have been.
	Change(ctx context.Context, modify func(current []byte) ([]byte, error)) ([]byte, error)
	// Read returns a value that a majority holds, at least as new as every change that ended before the call.
	Read(ctx context.Context) ([]byte, error)
}

// Options are what a Configurator needs.
type Options struct {
	Register Register
	// Caller tells the other members of a change at once.
	Caller transport.Caller
	// Members returns the set of replicas.
	Members func() replicaset.View
	// Address is this node's own internal address.
	Address string
	Logger  *zap.Logger
}

// Configurator changes and reads the configuration. Its methods may be called from any goroutine.
type Configurator struct {
	options Options
	// changing admits one change of this process at a time, so that its own proposals do not compete.
	changing      chan struct{}
	announcements sync.WaitGroup // calls that tell other members
	// newerAnnounced tells Run that another member has announced a version that was not known here.
	newerAnnounced wakeup.Signal

	mutex    sync.Mutex
	value    []byte // the register's value that state was decoded from
	state    State  // newest known to be held by a majority
	changed  chan struct{}
	lastRead time.Time // start of the newest read or change that reached a majority; zero before
	closed   bool      // no more members are told
}

// New makes a Configurator that knows of no configuration. It learns of one through Run, Read and Put.
func New(options Options) *Configurator {
	return &Configurator{
		options:  options,
		changing: make(chan struct{}, 1),
		changed:  make(chan struct{}),

		newerAnnounced: wakeup.New(),
	}
}

// Current returns the newest version known to be held by a majority, with its body as the operator sent it; version 0
// before the first. It does not ask other members.
func (c *Configurator) Current() (version uint64, body []byte) {
	state := c.cached()
	return state.Version, state.Body
}

// Changed returns a channel that is closed at the next change of Current. To miss none, fetch the channel before
// calling Current.
func (c *Configurator) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// Fresh tells whether a quorum round that began at most age ago has confirmed what Current returns.
func (c *Configurator) Fresh(age time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.lastRead.IsZero() && time.Since(c.lastRead) <= age
}

// Read returns the newest configuration by a quorum read.
func (c *Configurator) Read(ctx context.Context) (version uint64, body []byte, err error) {
	began := time.Now()
	value, err := c.options.Register.Read(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("read the configuration: %w", err)
	}
	if err := c.adoptEncoded(value); err != nil {
		return 0, nil, err
	}
	c.recordRead(began)
	version, body = c.Current()
	return version, body, nil
}

// Put takes an order: the body replaces the configuration if version ifMatch is current. An order that was taken
// before is accepted again, also after later changes.
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
		return invalidOutcome(versionNotAbove(request.version, ifMatch))
	}
	select {
	case c.changing <- struct{}{}:
		defer func() { <-c.changing }()
	case <-ctx.Done():
		return Outcome{Kind: Unavailable, Err: fmt.Errorf("wait for earlier changes: %w", ctx.Err())}
	}
	if ifMatch < c.cached().Version {
		return c.evaluateOutdated(ctx, request)
	}
	return c.applyThroughRegister(ctx, request)
}

// evaluateOutdated answers an order on top of a version that was replaced. Versions only rise: it cannot be taken any more, and the
// history shows whether it was. The state comes from a majority after the order has arrived, as every refusal does: a
// node that is cut off refuses nothing. A read, unlike a change, does not compete with the order that may be taken.
func (c *Configurator) evaluateOutdated(ctx context.Context, request updateRequest) Outcome {
	if _, _, err := c.Read(ctx); err != nil {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: err}
	}
	return c.cached().evaluate(request)
}

// applyThroughRegister runs an order through the register. A refusal leaves the value as it is instead of ending the change with an
// error, so that it rests on a value that a majority holds and not on a change that may still be lost.
func (c *Configurator) applyThroughRegister(ctx context.Context, request updateRequest) Outcome {
	began := time.Now()
	before := c.cached().Version
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
		return registerFailure(err)
	}
	committed, err := DecodeState(value)
	if err != nil {
		return Outcome{Kind: Unclear, Err: err}
	}
	c.adopt(value, committed)
	c.recordRead(began)
	if committed.Version > before {
		c.announceToMembers(committed.Version)
	}
	return committed.evaluate(request)
}

func registerFailure(err error) Outcome {
	wrapped := fmt.Errorf("change the configuration: %w", err)
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return Outcome{Kind: Unavailable, RetryAfter: rpcerror.RetryAfter(err), Err: wrapped}
	}
	return Outcome{Kind: Unclear, Err: wrapped}
}

func (c *Configurator) cached() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// isCached tells whether value is the one last adopted, so that it need not be decoded again.
func (c *Configurator) isCached(value []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return bytes.Equal(value, c.value)
}

// learn adopts an encoded state that a majority holds.
func (c *Configurator) adoptEncoded(value []byte) error {
	if c.isCached(value) {
		return nil
	}
	state, err := DecodeState(value)
	if err != nil {
		return err
	}
	c.adopt(value, state)
	return nil
}

// adopt takes over a state that a majority holds, unless one as new is known.
func (c *Configurator) adopt(value []byte, state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state.Version <= c.state.Version {
		return
	}
	c.value, c.state = value, state
	close(c.changed)
	c.changed = make(chan struct{})
	c.options.Logger.Info("configuration in force", zap.Uint64("version", state.Version))
}

func (c *Configurator) recordRead(began time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if began.After(c.lastRead) {
		c.lastRead = began
	}
}

// Run reads the configuration at regular intervals, and when another member has told of a newer one, until ctx ends. Then
// it waits for the calls still under way.
func (c *Configurator) Run(ctx context.Context) error {
	defer c.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.newerAnnounced:
		}
		timer.Reset(c.readBounded(ctx))
	}
}

func (c *Configurator) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.announcements.Wait()
}

// readBounded does one quorum read and returns the pause until the next.
func (c *Configurator) readBounded(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, _, err := c.Read(bounded)
	if err == nil {
		return readInterval
	}
	if !errors.Is(err, context.Canceled) {
		c.options.Logger.Debug("no quorum read of the configuration", zap.Error(err))
	}
	return readRetry
}
