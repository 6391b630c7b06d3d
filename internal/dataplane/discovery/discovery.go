// Package discovery is the client of the service registry. It passes the initial list of backends to a listener, watches the
// registry for changes, fetches the complete list on request, and reconnects after failures.
//
// A list is applied completely or not at all. A watch resumes at the version that was applied last. An aggregator's node creates
// and runs the Client, and changes the registry's address. The policy's actor subscribes and requests lists. The package never
// removes a backend because the registry is unreachable.
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
	// heartbeatInterval is how often the registry sends an empty line while nothing changes.
	heartbeatInterval = 2 * time.Second
	// missedHeartbeats is the number of heartbeat intervals without a line after which a watch has timed out. The watch is then
	// broken or its registry unreachable, and only a new watch shows which. A change counts as known 6 s after it was made at
	// the latest, so a new watch must be established before that.
	missedHeartbeats = 2.5
	// minBackoff is the first delay between watches. The delay doubles with each failure, so that aggregators that lost the
	// registry at the same time don't overload it.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the longest delay between watches, before jitter. It is short, because a new watch must be established within
	// the 6 s.
	maxBackoff = time.Second
	// maxLine bounds the memory for one list, in bytes. It is enough for about 10,000 backends.
	maxLine = 4 << 20
)

// messageKind is the kind of a message. The comments of the constants list the fields that are set for a kind.
type messageKind uint8

const (
	messageSubscribe messageKind = iota // subscribe
	messageRequestCompleteList
	messageMoveTo       // address
	messageLine         // watch, line
	messageWatchEnded   // watch, err
	messageCompleteList // address: the URL of the request; version: the version known at the request; line or err
	messageStop
)

// message is a message to the client's actor.
type message struct {
	kind      messageKind
	subscribe bool
	address   string
	watch     int
	version   int64
	line      []byte
	err       error
}

// Listener receives changes of the list. It is the policy's actor or a queue in front of it. Put must not block.
type Listener interface{ Put(...aggregator.Event) }

// Client is an actor that reads the list from the registry. Only the goroutine of Run accesses its fields, except for inbox and
// done, which are safe for concurrent use, and fields that never change.
type Client struct {
	inbox          *eventqueue.Queue[message]
	listener       Listener
	logger         *zap.Logger
	counters       *counters.Set
	url            string
	watchTimeout   time.Duration // how long a watch may be without a line before it is replaced
	listOnRequest  bool          // the policy decides when to subscribe; otherwise the client watches all the time
	client         *http.Client
	locations      map[string]int
	machineKinds   map[string]int
	backendIDs     map[string]policy.BackendID // by name, of the backends in the current list
	lastID         policy.BackendID
	version        int64
	subscribed     bool
	currentWatch   int // number of the current watch; messages of other watches are ignored
	cancel         context.CancelFunc
	lastLineAt     time.Time
	watchStartedAt time.Time // when the current watch was started
	backoff        time.Duration
	nextWatchAt    time.Time // when to start the next watch; zero for at once
	done           chan struct{}
}

// New returns a client of the registry at an address, and passes known, the initial list in JSON, to the listener.
func New(address string, known []byte, aggregatorSettings settings.Settings, listener Listener, logger *zap.Logger,
	counterSet *counters.Set) (*Client, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	r := &Client{inbox: eventqueue.New[message](), listener: listener, logger: logger, counters: counterSet,
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

// MoveTo changes the address of the registry. The watch resumes there at the version that was applied last, so the list stays
// complete. An invalid address is an error and changes nothing.
func (r *Client) MoveTo(address string) error {
	if err := checkAddress(address); err != nil {
		return err
	}
	r.inbox.Put(message{kind: messageMoveTo, address: address})
	return nil
}

// checkAddress checks that an address has a host and a valid port.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	_, err = net.LookupPort("tcp", port)
	return err
}

// listURL returns the URL of the list at a registry's address.
func listURL(address string) string { return "http://" + address + "/discovery/hosts" }

// Subscribe starts or ends the watch, at the request of the policy.
func (r *Client) Subscribe(on bool) { r.inbox.Put(message{kind: messageSubscribe, subscribe: on}) }

// RequestCompleteList requests the complete list once, at the request of the policy.
func (r *Client) RequestCompleteList() { r.inbox.Put(message{kind: messageRequestCompleteList}) }

// Stop ends the actor and waits for it.
func (r *Client) Stop() {
	r.inbox.Put(message{kind: messageStop})
	<-r.done
}

// Run runs the actor until Stop is called.
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

// handle handles a message.
func (r *Client) handle(msg *message) {
	switch msg.kind {
	case messageSubscribe:
		r.subscribed = msg.subscribe
		r.cancelWatch()
		r.nextWatchAt = time.Time{}
	case messageRequestCompleteList:
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
		r.lastLineAt, r.backoff = time.Now(), 0 // also for a heartbeat, as the 6 s for a new watch start again at each line
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
		if msg.address != r.url || msg.version != r.version && msg.olderThan(r.version) { // from another address, or older than what a watch has delivered
			go r.fetch(r.url, r.version)
			return
		}
		err := msg.err
		if err == nil {
			err = r.applyList(msg.line, false)
		}
		if err != nil {
			r.logger.Info("connection ended", zap.String("peer", "register"), zap.String("reason", "whole_list_failed"), zap.String("text", err.Error()))
			r.listener.Put(aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListFailed}})
		}
	}
}

// olderThan reports whether the complete list in the message is older than a version.
func (msg *message) olderThan(version int64) bool {
	var p listMessage
	return msg.err == nil && json.Unmarshal(msg.line, &p) == nil && p.Version != nil && *p.Version < version
}
