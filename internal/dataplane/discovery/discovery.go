// Package discovery is the actor of the register: the list as it was known at the start, the watch on its changes,
// the whole list where it is asked for, and reconnects.
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
	// is dead or its register out of reach, and only a new one can tell. What the register has to say counts as
	// told 6 s later at the latest: a new watch must stand before.
	heartbeatInterval = 2 * time.Second
	silentHeartbeats  = 2.5
	// Waits between watches grow, so that aggregators that lost the register together leave it room, but not far, for
	// the same reason.
	firstWait = 50 * time.Millisecond
	mostWait  = time.Second
	// mostLine bounds what one list can make us hold: some 10,000 backends.
	mostLine = 4 << 20
)

type noteKind uint8

const (
	subscribe noteKind = iota // on
	askWhole
	moveTo       // address
	lineArrived  // watch, line
	watchEnded   // watch, err
	wholeArrived // address: its URL; version: that known when it was asked for; line or err
	stop
)

type note struct {
	kind    noteKind
	on      bool
	address string
	watch   int
	version int64
	line    []byte
	err     error
}

// Listener hears of the list: the module's actor, or one that stands before it. Put may not block.
type Listener interface{ Put(...aggregator.Event) }

// Client is the actor.
type Client struct {
	in       *eventqueue.Queue[note]
	tell     Listener
	log      *zap.Logger
	count    *counters.Set
	url      string
	silence  time.Duration // of a watch, after which it is renewed
	asked    bool          // the module asks for the list; else it comes unasked
	client   *http.Client
	places   map[string]int
	kinds    map[string]int
	ids      map[string]policy.BackendID // of those named now
	lastID   policy.BackendID
	version  int64
	on       bool
	watch    int // number of the watch that counts
	cancel   context.CancelFunc
	heard    time.Time
	since    time.Time // of the watch in hand
	wait     time.Duration
	again    time.Time // when to watch again; zero while one runs
	finished chan struct{}
}

// New makes the actor and tells the module what was known at the start.
func New(address string, known []byte, set settings.Settings, tell Listener, log *zap.Logger,
	count *counters.Set) (*Client, error) {
	if err := checked(address); err != nil {
		return nil, err
	}
	r := &Client{in: eventqueue.New[note](), tell: tell, log: log, count: count,
		url: listURL(address), silence: time.Duration(silentHeartbeats * float64(heartbeatInterval)), asked: set.ListOnRequest, on: !set.ListOnRequest,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: heartbeatInterval}).DialContext}},
		places: settings.Numbered[int](set.Net.Locations), kinds: settings.Numbered[int](set.Net.Kinds), ids: map[string]policy.BackendID{},
		finished: make(chan struct{})}
	if err := r.take(known, true); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return r, nil
}

// MoveTo goes on at another address of the register, from the version last read: the list stays whole meanwhile.
// An address that is not one changes nothing.
func (r *Client) MoveTo(address string) error {
	if err := checked(address); err != nil {
		return err
	}
	r.in.Put(note{kind: moveTo, address: address})
	return nil
}

// checked tells what is wrong with an address, which has to be host and port.
func checked(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	_, err = net.LookupPort("tcp", port)
	return err
}

func listURL(address string) string { return "http://" + address + "/discovery/hosts" }

// Subscribe begins or ends watching, as the module asks.
func (r *Client) Subscribe(on bool) { r.in.Put(note{kind: subscribe, on: on}) }

// AskWhole asks for the whole list once, as the module asks.
func (r *Client) AskWhole() { r.in.Put(note{kind: askWhole}) }

// Stop ends the actor.
func (r *Client) Stop() {
	r.in.Put(note{kind: stop})
	<-r.finished
}

// Run is the actor's goroutine.
func (r *Client) Run() {
	defer close(r.finished)
	var notes []note
	timer := time.NewTimer(0)
	for {
		select {
		case <-r.in.Ready():
		case <-timer.C:
		}
		notes = r.in.Take(notes)
		for i := range notes {
			if notes[i].kind == stop {
				r.drop()
				return
			}
			r.hear(&notes[i])
		}
		timer.Reset(time.Until(r.look(time.Now())))
	}
}

func (r *Client) hear(n *note) {
	switch n.kind {
	case subscribe:
		r.on = n.on
		r.drop()
		r.again = time.Time{}
	case askWhole:
		go r.fetch(r.url, r.version)
	case moveTo:
		if url := listURL(n.address); url != r.url {
			r.url, r.wait, r.again = url, 0, time.Time{}
			if r.cancel != nil {
				r.let("address_changed", nil)
			}
		}
	case lineArrived:
		if n.watch != r.watch {
			return
		}
		r.heard, r.wait = time.Now(), 0 // a heartbeat as well: what it misses from here on has its own 6 s
		if len(n.line) == 0 {
			return
		}
		if err := r.take(n.line, false); err != nil {
			r.ended("bad_line", err)
		}
	case watchEnded:
		if n.watch == r.watch && r.cancel != nil {
			r.ended("watch_ended", n.err)
		}
	case wholeArrived:
		if n.address != r.url || n.version != r.version && n.olderThan(r.version) { // as it was elsewhere, or before what a watch told
			go r.fetch(r.url, r.version)
			return
		}
		err := n.err
		if err == nil {
			err = r.take(n.line, false)
		}
		if err != nil {
			r.log.Info("connection ended", zap.String("peer", "register"), zap.String("reason", "whole_list_failed"), zap.String("text", err.Error()))
			r.tell.Put(aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListFailed}})
		}
	}
}

// olderThan tells of a whole list that it is from before a version.
func (n *note) olderThan(version int64) bool {
	var p page
	return n.err == nil && json.Unmarshal(n.line, &p) == nil && p.Version != nil && *p.Version < version
}
