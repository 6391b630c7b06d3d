// Package discovery is the actor of the register: the list as it was known at the start, the watch on its changes,
// the whole list where it is asked for, and reconnects.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/mixer"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/logic"
)

const (
	// heartbeatInterval is how often the protocol sends an empty line while nothing changes; a watch silent for so many of them
	// is dead or its register out of reach, and only a new one can tell. What the register has to say counts as
	// told 6 s later at the latest: a new watch must stand before.
	heartbeatInterval = 2 * time.Second
	silentHeartbeats  = 2.5
	// Waits between watches grow, so that mixers that lost the register together leave it room, but not far, for
	// the same reason.
	firstWait = 50 * time.Millisecond
	mostWait  = time.Second
	// mostLine bounds what one list can make us hold: some 10,000 searchers.
	mostLine = 4 << 20
)

// entry and page are the register's form.
type entry struct {
	ID        string   `json:"instanceId"`
	Address   string   `json:"hostPort"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"machineType"`
	Cell      int      `json:"cell"`
	State     string   `json:"lifecycle"`
	Weight    *float64 `json:"weight"`
	StartedMs float64  `json:"startedAtMs"`
}

// weight is the searcher's size; where none is stated, or none that can be, all count alike.
func (e *entry) weight() float64 {
	if e.Weight == nil || *e.Weight <= 0 {
		return 1
	}
	return *e.Weight
}

type page struct {
	Version   *int64  `json:"generation"`
	Whole     bool    `json:"reset"`
	Instances []entry `json:"instances"`
}

var phases = map[string]logic.Phase{"SERVING": logic.Ready, "DRAINING": logic.Draining, "DELETED": logic.Gone}

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
type Listener interface{ Put(...mixer.Event) }

// Client is the actor.
type Client struct {
	in       *eventqueue.Queue[note]
	tell     Listener
	log      zerolog.Logger
	count    *counters.Set
	url      string
	silence  time.Duration // of a watch, after which it is renewed
	asked    bool          // the module asks for the list; else it comes unasked
	client   *http.Client
	places   map[string]int
	kinds    map[string]int
	ids      map[string]logic.SearcherID // of those named now
	lastID   logic.SearcherID
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
func New(address string, known []byte, set settings.Settings, tell Listener, log zerolog.Logger,
	count *counters.Set) (*Client, error) {
	if err := checked(address); err != nil {
		return nil, err
	}
	r := &Client{in: eventqueue.New[note](), tell: tell, log: log, count: count,
		url: listURL(address), silence: time.Duration(silentHeartbeats * float64(heartbeatInterval)), asked: set.AskList, on: !set.AskList,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: heartbeatInterval}).DialContext}},
		places: settings.Numbered[int](set.Net.Locations), kinds: settings.Numbered[int](set.Net.Kinds), ids: map[string]logic.SearcherID{},
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

// Subscribe and AskWhole are what the module may ask.
func (r *Client) Subscribe(on bool) { r.in.Put(note{kind: subscribe, on: on}) }
func (r *Client) AskWhole()         { r.in.Put(note{kind: askWhole}) }

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
			r.log.Info().Str("peer", "register").Str("reason", "whole_list_failed").Str("text", err.Error()).Msg("connection ended")
			r.tell.Put(mixer.Event{Event: logic.Event{Kind: logic.ListChanged, List: logic.ListFailed}})
		}
	}
}

// olderThan tells of a whole list that it is from before a version.
func (n *note) olderThan(version int64) bool {
	var p page
	return n.err == nil && json.Unmarshal(n.line, &p) == nil && p.Version != nil && *p.Version < version
}

// silent is when the watch in hand counts as silent. A new one that has said nothing at all gets half as long, in which a
// heartbeat is due: should it be silent as the one before it was, a third one stands before drains have to be kept.
func (r *Client) silent() time.Time {
	if r.heard.Equal(r.since) {
		return r.heard.Add(r.silence / 2)
	}
	return r.heard.Add(r.silence)
}

// look begins a watch where one is due, ends one that is silent, and tells when to look again.
func (r *Client) look(now time.Time) time.Time {
	silent := r.silent()
	if r.cancel != nil && !now.Before(silent) {
		r.ended("silent", errors.New("no line and no beat"))
	}
	if r.on && r.cancel == nil && !now.Before(r.again) {
		r.begin(now)
		silent = r.silent()
	}
	switch {
	case r.cancel != nil:
		return silent
	case r.on:
		return r.again
	}
	return now.Add(time.Hour)
}

func (r *Client) begin(now time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	r.watch++
	r.cancel, r.heard, r.since = cancel, now, now
	r.count.Add("watches", "begun", 1)
	go func(no int, url string) {
		r.in.Put(note{kind: watchEnded, watch: no, err: r.follow(ctx, no, url)})
	}(r.watch, r.url+"?stream=1&index="+strconv.FormatInt(r.version, 10))
}

// drop lets go of the watch in hand; what it may still say counts no more.
func (r *Client) drop() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.watch++
}

// let lets go of a watch and says why.
func (r *Client) let(why string, err error) {
	r.count.Add("watches", why, 1)
	line := r.log.Info().Str("peer", "register").Str("reason", why).Float64("lived_s", time.Since(r.since).Seconds())
	if err != nil {
		line = line.Str("text", err.Error())
	}
	line.Msg("connection ended")
	r.drop()
}

// ended lets go of a watch that came to nothing, and sets when to try again. Mixers that lost the register
// together must not come back together.
func (r *Client) ended(why string, err error) {
	r.let(why, err)
	r.wait = min(mostWait, max(firstWait, 2*r.wait))
	r.again = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(r.wait)))
	if r.asked { // the module says when to ask again
		r.on = false
		r.tell.Put(mixer.Event{Event: logic.Event{Kind: logic.ListChanged, List: logic.ListFailed}})
	}
}

func (r *Client) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := r.client.Do(req)
	if err == nil && res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	return res, err
}

// follow reads a watch until it ends.
func (r *Client) follow(ctx context.Context, no int, url string) error {
	res, err := r.get(ctx, url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body := &tail{Reader: res.Body}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostLine)
	lines.Split(body.lines)
	var whole gathered
	for lines.Scan() {
		if text, done := whole.add(lines.Bytes()); done {
			r.in.Put(note{kind: lineArrived, watch: no, line: text})
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// tail is a body that remembers how it ended: a reset is no end. What came behind the last line break before one is no
// line, even where it can be read.
type tail struct {
	io.Reader
	err error
}

func (t *tail) Read(b []byte) (n int, err error) {
	n, t.err = t.Reader.Read(b)
	return n, t.err
}

func (t *tail) lines(data []byte, atEnd bool) (advance int, token []byte, err error) {
	if atEnd && t.err != io.EOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// gathered puts together what comes in several lines, as indented lists do: the lines from the one that opens an object to
// the one that closes it. An empty line in between is a heartbeat behind a list that broke off, which is then handed on as it
// is, to be found bad.
type gathered struct {
	text          []byte
	depth         int
	quoted, slash bool
}

// add takes a line, and hands out what it completes: a list, or an empty line.
func (g *gathered) add(line []byte) (text []byte, done bool) {
	if len(g.text) > 0 {
		g.text = append(g.text, '\n')
	}
	g.text = append(g.text, line...)
	for _, c := range line {
		switch {
		case g.slash:
			g.slash = false
		case g.quoted:
			g.slash, g.quoted = c == '\\', c != '"'
		case c == '"':
			g.quoted = true
		case c == '{' || c == '[':
			g.depth++
		case c == '}' || c == ']':
			g.depth--
		}
	}
	if g.depth > 0 && !g.quoted && len(line) > 0 && len(g.text) <= mostLine {
		return nil, false
	}
	text, *g = g.text, gathered{}
	return text, true
}

// fetch asks for the whole list once.
func (r *Client) fetch(url string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.silence)
	defer cancel()
	n := note{kind: wholeArrived, address: url, version: version}
	var res *http.Response
	if res, n.err = r.get(ctx, url); n.err == nil {
		n.line, n.err = io.ReadAll(io.LimitReader(res.Body, mostLine))
		res.Body.Close()
	}
	r.in.Put(n)
}

// take reads a line of the register's and tells the module, unless anything in it can't be read: half a list
// would be worse than an old one.
func (r *Client) take(line []byte, known bool) error {
	var p page
	if err := json.Unmarshal(line, &p); err != nil {
		return err
	}
	if p.Version == nil {
		return errors.New("no generation")
	}
	e := mixer.Event{Event: logic.Event{Kind: logic.ListChanged, List: logic.ListPatch}}
	switch {
	case known:
		e.List = logic.ListStale
	case p.Whole:
		e.List = logic.ListWhole
	}
	for i := range p.Instances { // all of them, before the first one counts
		in := &p.Instances[i]
		phase, is := phases[in.State]
		switch {
		case !is:
			return fmt.Errorf("searcher %q: unknown state %q", in.ID, in.State)
		case in.ID == "":
			return errors.New("searcher without an id")
		case phase != logic.Gone && in.Address == "":
			return fmt.Errorf("searcher %q without an address", in.ID)
		case in.Cell < 0:
			return fmt.Errorf("searcher %q: cell %d", in.ID, in.Cell)
		// In a config it is a slip. A list that comes later is not refused for a figure: its drains count more.
		case known && in.Weight != nil && *in.Weight <= 0:
			return fmt.Errorf("searcher %q: weight is %g, expected more than 0", in.ID, *in.Weight)
		}
	}
	before := r.ids
	if e.List != logic.ListPatch { // those that it leaves out are gone
		r.ids = make(map[string]logic.SearcherID, len(p.Instances))
	}
	for i := range p.Instances {
		in := &p.Instances[i]
		phase := phases[in.State]
		id, seen := r.ids[in.ID]
		if !seen {
			id, seen = before[in.ID]
		}
		switch {
		case !seen && phase == logic.Gone:
			continue
		case !seen:
			r.lastID++
			id = r.lastID
		}
		if phase == logic.Gone { // should the name come again, it is another searcher's
			delete(r.ids, in.ID)
		} else {
			r.ids[in.ID] = id
		}
		e.Entries = append(e.Entries, logic.Entry{Searcher: id, Location: logic.LocationID(number(r.places, in.Zone)),
			Kind: number(r.kinds, in.Kind), Cell: logic.CellID(in.Cell), Phase: phase, Share: in.weight(),
			StartedAt: in.StartedMs / 1000})
		e.Addresses = append(e.Addresses, in.Address)
		e.Names = append(e.Names, mixer.Name{Searcher: in.ID, Location: in.Zone})
	}
	r.version = *p.Version
	r.tell.Put(e)
	return nil
}

// number gives names that the settings leave out numbers of their own, beyond those.
func number(names map[string]int, name string) int {
	no, known := names[name]
	if !known {
		no = len(names)
		names[name] = no
	}
	return no
}
