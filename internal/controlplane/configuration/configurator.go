package configuration

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/wakeup"
)

// Register is the replicated compare-and-swap register that holds the State.
type Register interface {
	// Change replaces the value by the result of modify, and returns that result once it is committed. The value is empty before
	// the first change, and must not be modified in place. Change may call modify several times, each time with the value that it
	// read. If modify returns that value unchanged, the value is committed when Change returns. An rpcerror.NotExecuted error
	// means that no change was made. After any other error the change may have been made.
	Change(ctx context.Context, modify func(current []byte) ([]byte, error)) ([]byte, error)
	// Read returns a committed value that is at least as new as every change that completed before the call.
	Read(ctx context.Context) ([]byte, error)
}

// Options are the dependencies of a Configurator.
type Options struct {
	Register Register
	// Caller sends announcements to the other members.
	Caller transport.Caller
	// Members returns the current view of the replica set.
	Members func() replicaset.View
	// Retired reports whether an ended tenure of a queue need not be kept. Nil keeps all.
	Retired RetiredFunc
	// Address is the internal address of this node.
	Address string
	Logger  *zap.Logger
}

// Configurator updates, reads and caches the configuration. Its methods are safe for concurrent use.
type Configurator struct {
	options Options
	// changeSlot is a semaphore that admits one change at a time, so that proposals of this process do not compete.
	changeSlot    chan struct{}
	announcements sync.WaitGroup // announcement calls in flight
	// newerAnnounced wakes Run when another member announces a version above the cached one.
	newerAnnounced wakeup.Signal

	mutex        sync.Mutex
	encodedState []byte          // the register's value from which state was decoded
	state        State           // newest state known to be committed
	queues       *QueueDirectory // of state
	changed      chan struct{}
	lastRead     time.Time // start of the latest read or change that reached a majority; zero if there was none
	closed       bool      // set when no more announcements may be sent
}

// New returns a Configurator without a cached configuration. Run, Read and Put fill the cache.
func New(options Options) *Configurator {
	if options.Retired == nil {
		options.Retired = func(queuekey.Key, Tenure) bool { return false }
	}
	return &Configurator{
		options:    options,
		changeSlot: make(chan struct{}, 1),
		changed:    make(chan struct{}),
		queues:     &QueueDirectory{},

		newerAnnounced: wakeup.New(),
	}
}

// Current returns the newest version known to be committed, and its body as the operator sent it. The version is 0 if none is
// known. Current uses the cache and does not call other members.
func (c *Configurator) Current() (version uint64, body []byte) {
	state := c.cached()
	return state.Version, state.Body
}

// Queues returns the directory of queues of the version that Current returns.
func (c *Configurator) Queues() *QueueDirectory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.queues
}

// directoryOf returns the directory of queues of a committed state.
func (c *Configurator) directoryOf(state State) (*QueueDirectory, error) {
	if cached := c.Queues(); cached.version == state.Version {
		return cached, nil
	}
	return NewQueueDirectory(state)
}

// Changed returns a channel that is closed when the result of Current changes. To miss no change, get the channel before calling
// Current.
func (c *Configurator) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// Fresh reports whether the result of Current was confirmed by a quorum round that started at most maxAge ago.
func (c *Configurator) Fresh(maxAge time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.lastRead.IsZero() && time.Since(c.lastRead) <= maxAge
}

// Read returns the newest configuration by a quorum read. The version is 0 if there is none yet.
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

// isCachedEncoding reports whether value is the encoding of the cached state and need not be decoded again.
func (c *Configurator) isCachedEncoding(value []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return bytes.Equal(value, c.encodedState)
}

// adoptEncoded decodes a committed state and caches it, unless a state at least as new is cached.
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

// adopt caches a committed state, unless a state at least as new is cached.
func (c *Configurator) adopt(value []byte, state State) {
	if state.Version <= c.cached().Version {
		return
	}
	queues, err := NewQueueDirectory(state)
	if err != nil { // does not happen: the configuration was validated before it was applied
		c.options.Logger.Error("committed configuration not readable; its queues are unknown", zap.Error(err))
		queues = &QueueDirectory{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state.Version <= c.state.Version {
		return
	}
	c.encodedState, c.state, c.queues = value, state, queues
	close(c.changed)
	c.changed = make(chan struct{})
	c.options.Logger.Info("configuration in force", zap.Uint64("version", state.Version))
}

// recordRead records that a quorum round which began at start has confirmed the cached state.
func (c *Configurator) recordRead(start time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if start.After(c.lastRead) {
		c.lastRead = start
	}
}
