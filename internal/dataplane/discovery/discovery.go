// Package discovery is the client of the service registry: the list of backends known at the start, the watch on its changes,
// the complete list on request, and reconnects.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

const (
	// heartbeatInterval is how often the protocol sends an empty line while nothing changes; a watch silent for so many of them
	// is dead or its registry unreachable, and only a new one can tell. A change counts as
	// known 6 s later at the latest: a new watch must be established before.
	heartbeatInterval = 2 * time.Second
	missedHeartbeats  = 2.5
	// Waits between watches grow, so that aggregators that lost the registry together leave it room, but not far, for
	// the same reason.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxLine bounds what one list can make us hold: some 10,000 backends.
	maxLine = 4 << 20
)

type messageKind uint8

const (
	messageSubscribe messageKind = iota // on
	messageRequestFullList
	messageMoveTo       // address
	messageLine         // watch, line
	messageWatchEnded   // watch, err
	messageCompleteList // address: its URL; version: that known when it was asked for; line or err
	messageStop
)

type message struct {
	kind      messageKind
	subscribe bool
	address   string
	watch     int
	version   int64
	line      []byte
	err       error
}

// Listener receives changes of the list: the policy's actor, or one in front of it. Put may not block.
type Listener interface{ Put(...aggregator.Event) }

// Client is the registry's client, an actor. Its fields but in and finished belong to the goroutine of Run.
type Client struct {
	inbox          *eventqueue.Queue[message]
	listener       Listener
	log            *zap.Logger
	counters       *counters.Set
	url            string
	watchTimeout   time.Duration // of a watch, after which it is renewed
	listOnRequest  bool          // the policy asks for the list; else it comes unasked
	client         *http.Client
	locations      map[string]int
	machineKinds   map[string]int
	backendIDs     map[string]policy.BackendID // of those named now
	lastID         policy.BackendID
	version        int64
	subscribed     bool
	currentWatch   int // number of the watch that counts
	cancel         context.CancelFunc
	lastLineAt     time.Time
	watchStartedAt time.Time // of the watch in hand
	backoff        time.Duration
	nextWatchAt    time.Time // when to watch again; zero while one runs
	done           chan struct{}
}

// New makes a client and passes the list known at the start to the listener.
func New(address string, known []byte, aggregatorSettings settings.Settings, listener Listener, log *zap.Logger,
	counterSet *counters.Set) (*Client, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	r := &Client{inbox: eventqueue.New[message](), listener: listener, log: log, counters: counterSet,
		url: listURL(address), watchTimeout: time.Duration(missedHeartbeats * float64(heartbeatInterval)), listOnRequest: aggregatorSettings.ListOnRequest, subscribed: !aggregatorSettings.ListOnRequest,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: heartbeatInterval}).DialContext}},
		locations: settings.IDsByName[int](aggregatorSettings.Net.Locations), machineKinds: settings.IDsByName[int](aggregatorSettings.Net.MachineKinds), backendIDs: map[string]policy.BackendID{},
		done: make(chan struct{})}
	if err := r.applyList(known, true); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return r, nil
}

// MoveTo continues with another address of the registry, from the version last read: the list stays complete meanwhile. An
// invalid address changes nothing.
func (r *Client) MoveTo(address string) error {
	if err := checkAddress(address); err != nil {
		return err
	}
	r.inbox.Put(message{kind: messageMoveTo, address: address})
	return nil
}

// checkAddress checks that an address has a host and a port.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	_, err = net.LookupPort("tcp", port)
	return err
}

func listURL(address string) string { return "http://" + address + "/discovery/hosts" }

// Subscribe starts or ends the watch, for the policy.
func (r *Client) Subscribe(on bool) { r.inbox.Put(message{kind: messageSubscribe, subscribe: on}) }

// RequestFullList requests the complete list once, for the policy.
func (r *Client) RequestFullList() { r.inbox.Put(message{kind: messageRequestFullList}) }

// Stop ends the actor.
func (r *Client) Stop() {
	r.inbox.Put(message{kind: messageStop})
	<-r.done
}

// Run is the actor's goroutine.
func (r *Client) Run() {
	defer close(r.done)
	var messages []message
	timer := time.NewTimer(0)
	for {
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		}
		messages = r.inbox.Take(messages)
		for i := range messages {
			if messages[i].kind == messageStop {
				r.cancelWatch()
				return
			}
			r.handle(&messages[i])
		}
		timer.Reset(time.Until(r.checkWatch(time.Now())))
	}
}

func (r *Client) handle(msg *message) {
	switch msg.kind {
	case messageSubscribe:
		r.subscribed = msg.subscribe
		r.cancelWatch()
		r.nextWatchAt = time.Time{}
	case messageRequestFullList:
		go r.fetch(r.url, r.version)
	case messageMoveTo:
		if url := listURL(msg.address); url != r.url {
			r.url, r.backoff, r.nextWatchAt = url, 0, time.Time{}
			if r.cancel != nil {
				r.endWatch("address_changed", nil)
			}
		}
	case messageLine:
		if msg.watch != r.currentWatch {
			return
		}
		r.lastLineAt, r.backoff = time.Now(), 0 // a heartbeat as well: what it misses from here on has its own 6 s
		if len(msg.line) == 0 {
			return
		}
		if err := r.applyList(msg.line, false); err != nil {
			r.retryWatch("bad_line", err)
		}
	case messageWatchEnded:
		if msg.watch == r.currentWatch && r.cancel != nil {
			r.retryWatch("watch_ended", msg.err)
		}
	case messageCompleteList:
		if msg.address != r.url || msg.version != r.version && msg.olderThan(r.version) { // of another address, or older than what a watch has delivered
			go r.fetch(r.url, r.version)
			return
		}
		err := msg.err
		if err == nil {
			err = r.applyList(msg.line, false)
		}
		if err != nil {
			r.log.Info("connection ended", zap.String("peer", "register"), zap.String("reason", "whole_list_failed"), zap.String("text", err.Error()))
			r.listener.Put(aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListFailed}})
		}
	}
}

// olderThan tells whether a complete list is older than a version.
func (msg *message) olderThan(version int64) bool {
	var p page
	return msg.err == nil && json.Unmarshal(msg.line, &p) == nil && p.Version != nil && *p.Version < version
}
