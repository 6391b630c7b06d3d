package configuration

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/wakeup"
)

// Register is the replicated compare-and-swap register that holds the State.
type Register interface {
	// Change replaces the value by the result of modify, and returns that result once it is committed. The value is empty before
	// the first change, and nobody modifies it in place. Change may call modify several times, each time with the value that it
	// found; where modify returns that value unchanged, it is committed when Change returns. An rpcerror.NotExecuted error means
	// that no change was made; any other, that it may have been.
	Change(ctx context.Context, modify func(current []byte) ([]byte, error)) ([]byte, error)
	// Read returns a committed value, at least as new as every change that ended before the call.
	Read(ctx context.Context) ([]byte, error)
}

// Options are what a Configurator needs.
type Options struct {
	Register Register
	// Caller announces updates to the other members.
	Caller transport.Caller
	// Members returns the set of replicas.
	Members func() replicaset.View
	// Address is this node's own internal address.
	Address string
	Logger  *zap.Logger
}

// Configurator updates and reads the configuration. Its methods may be called from any goroutine.
type Configurator struct {
	options Options
	// changing admits one change of this process at a time, so that its own proposals do not compete.
	changeSlot      chan struct{}
	announcements sync.WaitGroup // calls that are in flight
	// newerAnnounced wakes Run when another member has announced a version above the cached one.
	newerAnnounced wakeup.Signal

	mutex    sync.Mutex
	encodedState    []byte // the register's value that state was decoded from
	state    State  // newest known to be committed
	changed  chan struct{}
	lastRead time.Time // start of the newest read or change that reached a majority; zero before
	closed   bool      // no more announcements are sent
}

// New makes a Configurator without a configuration. It gets one through Run, Read and Put.
func New(options Options) *Configurator {
	return &Configurator{
		options:  options,
		changeSlot: make(chan struct{}, 1),
		changed:  make(chan struct{}),

		newerAnnounced: wakeup.New(),
	}
}

// Current returns the newest version known to be committed, with its body as the operator sent it; version 0 before the first. It
// does not call other members.
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

// Fresh reports whether a quorum round that began at most age ago has confirmed what Current returns.
func (c *Configurator) Fresh(maxAge time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.lastRead.IsZero() && time.Since(c.lastRead) <= maxAge
}

// Read returns the newest configuration by a quorum read; version 0 before the first.
func (c *Configurator) Read(ctx context.Context) (version uint64, body []byte, err error) {
	start := time.Now()
	value, err := c.options.Register.Read(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("read the configuration: %w", err)
	}
	if err := c.adoptEncoded(value); err != nil {
		return 0, nil, err
	}
	c.recordRead(start)
	version, body = c.Current()
	return version, body, nil
}

// cached returns the newest state known to be committed.
func (c *Configurator) cached() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// isCached reports whether value is the one last adopted, so that it need not be decoded again.
func (c *Configurator) isCachedEncoding(value []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return bytes.Equal(value, c.encodedState)
}

// adoptEncoded adopts an encoded state that is committed.
func (c *Configurator) adoptEncoded(value []byte) error {
	if c.isCachedEncoding(value) {
		return nil
	}
	state, err := DecodeState(value)
	if err != nil {
		return err
	}
	c.adopt(value, state)
	return nil
}

// adopt caches a state that is committed, unless one as new is cached.
func (c *Configurator) adopt(value []byte, state State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state.Version <= c.state.Version {
		return
	}
	c.encodedState, c.state = value, state
	close(c.changed)
	c.changed = make(chan struct{})
	c.options.Logger.Info("configuration in force", zap.Uint64("version", state.Version))
}

// recordRead records that a quorum round which began at a time has confirmed the cached state.
func (c *Configurator) recordRead(start time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if start.After(c.lastRead) {
		c.lastRead = start
	}
}
