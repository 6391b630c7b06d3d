// Package benchadapter carries the bench's wire to and from the decision module. It decides nothing.
package benchadapter

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/policy"
)

var (
	outcomes = map[string]policy.Outcome{
		"delivered": policy.Answered, "app_error": policy.Errored, "shed": policy.Rejected,
		"expired": policy.TimedOut, "dial_failed": policy.NotConnected, "dropped": policy.Broken,
		"revoked": policy.Canceled, "unused": policy.NotSent,
	}
	phases    = map[string]policy.Phase{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}
	listKinds = map[string]policy.ListKind{
		"patch": policy.ListPatch, "whole": policy.ListComplete, "stale_copy": policy.ListStale, "broken": policy.ListFailed,
	}
)

// instance is one instance of the module with the events of the batch in hand.
type instance struct {
	no         int64
	aggregator *policy.Aggregator
	events     []policy.Event
	hasEvents  bool
}

type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      []byte
	lineNo    int
	instances map[int64]*instance
	active    []*instance // instances with events in this batch, in the order of their first
	current   *instance
	lists     [16][]policy.Entry
	actions   []policy.Action
	buf       []byte
}

// Serve answers batches until the input ends. Anything malformed is an error that names its line.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18), instances: map[int64]*instance{}}
	for {
		more, err := s.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lineNo, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine reads one line; io.EOF only where nothing at all follows.
func (s *server) readLine() error {
	s.line = s.line[:0]
	for {
		chunk, err := s.in.ReadSlice('\n')
		s.line = append(s.line, chunk...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(s.line) > 0 {
			s.lineNo++
			return malformed("expected a line end, found the end of input in %q", s.line)
		}
		if err != nil {
			return err
		}
		s.lineNo++
		s.line = s.line[:len(s.line)-1]
		return nil
	}
}

// serveBatch answers one batch; more is false where the input has ended before it.
func (s *server) serveBatch() (more bool, err error) {
	for {
		if err := s.readLine(); errors.Is(err, io.EOF) {
			return false, nil
		} else if err != nil {
			return true, err
		}
		if len(s.line) > 0 {
			break
		}
	}
	f := fields{rest: s.line}
	if name := f.word("TICK"); string(name) != "TICK" {
		return true, malformed("expected TICK, found %q", name)
	}
	now, seq := f.number("clock"), f.integer("batch number")
	if err := f.done(); err != nil {
		return true, err
	}
	s.current, s.active = nil, s.active[:0]
	for {
		if err := s.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				return true, malformed("expected END, found the end of input")
			}
			return true, err
		}
		if string(s.line) == "END" {
			break
		}
		if err := s.readEvent(now); err != nil {
			return true, err
		}
	}
	for _, h := range s.active {
		s.step(h, now)
	}
	s.buf = append(append(s.buf[:0], "ACK "...), strconv.FormatInt(seq, 10)...)
	s.buf = append(s.buf, '\n')
	if _, err := s.out.Write(s.buf); err != nil {
		return true, err
	}
	return true, s.out.Flush()
}

// step hands an instance its events and writes its actions. A panic is the module's own; the wire has a word for it.
func (s *server) step(h *instance, now float64) {
	h.hasEvents = false
	if h.aggregator == nil || len(h.events) == 0 {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(s.out, "BY %d\nPANIC %s\n", h.no, strings.ReplaceAll(fmt.Sprint(r), "\n", " "))
		}
	}()
	s.actions = h.aggregator.Step(now, h.events, s.actions[:0])
	h.events = h.events[:0]
	if len(s.actions) == 0 {
		return
	}
	b := append(append(s.buf[:0], "BY "...), strconv.FormatInt(h.no, 10)...)
	b = append(b, '\n')
	for i := range s.actions {
		b = appendAction(b, &s.actions[i])
	}
	s.buf = b
	s.out.Write(b)
}

func (s *server) readEvent(now float64) error {
	f := fields{rest: s.line}
	name := string(f.word("message name"))
	switch name {
	case "ON":
		no := f.integer("mixerId")
		h := s.instances[no]
		if h == nil {
			h = &instance{no: no}
			s.instances[no] = h
		}
		s.current = h
		return f.done()
	case "PAGE":
		return s.readList(&f)
	}
	h := s.current
	if h == nil {
		return malformed("expected ON before %s", name)
	}
	if h.aggregator == nil && name != "SPAWN" {
		return malformed("expected SPAWN for instance %d before %s", h.no, name)
	}
	if !h.hasEvents {
		h.hasEvents = true
		s.active = append(s.active, h)
	}
	var e policy.Event
	switch name {
	case "SPAWN":
		seed := f.unsigned("rngSeed")
		if f.err != nil {
			return f.err
		}
		set, err := settings.Read(seed, f.rest)
		if err != nil {
			return err
		}
		h.aggregator, h.events = policy.New(set.Settings, now), h.events[:0]
		return nil
	case "HALT":
		h.aggregator, h.events = nil, h.events[:0]
		return f.done()
	case "BACKENDS_CHANGED":
		page, _, kind := f.word("setId"), f.word("epoch"), f.word("kind")
		known := false
		if e.List, known = listKinds[string(kind)]; !known {
			f.fail("kind", "patch, whole, stale_copy or broken", kind)
		}
		e.Kind = policy.ListChanged
		if e.List != policy.ListFailed {
			if no, err := strconv.Atoi(string(page)); err != nil || no < 0 || no >= len(s.lists) {
				f.fail("setId", "0 to 15", page)
			} else {
				e.Entries = s.lists[no]
			}
		}
	case "REQUEST":
		id := f.unsigned("req")
		e.Index, e.Customer = policy.IndexID(f.integer("cls")), policy.CustomerID(f.optional("owner"))
		e.Key, e.HasKey = f.hex("object")
		e.Remaining, e.Hint = f.number("timeBudgetS"), f.optional("costS")
		e.No = policy.QueryNo(f.integer("queryNo"))
		shard, amount := f.integer("shard"), f.number("amount")
		e.Resent = f.optional("resent") != 0
		f.optional("isWrite")
		if shard < 0 {
			e.Kind, e.Query, e.Subqueries = policy.QueryReceived, policy.QueryID(id), int(amount)
		} else {
			e.Kind, e.Subquery, e.Shard, e.Weight = policy.SubqueryReceived, policy.SubqueryID(id), policy.ShardID(shard), amount
		}
	case "ESTABLISHED":
		e.Kind, e.Subquery, e.Backend = policy.CallBegan, policy.SubqueryID(f.unsigned("req")), f.backend()
		e.Call, e.Elapsed = policy.CallNo(f.integer("copy")), f.number("costTimeS")
	case "ATTEMPT_END":
		e.Kind, e.Subquery, e.Call = policy.CallEnded, policy.SubqueryID(f.unsigned("req")), policy.CallNo(f.integer("copy"))
		e.Backend, e.Outcome, e.Elapsed = f.backend(), f.outcome(), f.number("costTimeS")
		f.integer("complete")
		e.Load = f.load()
	case "PING_RESULT":
		e.Kind, e.Elapsed, e.Outcome = policy.ProbeEnded, f.number("costTimeS"), f.outcome()
		e.Backend, e.Load = f.backend(), f.load()
	case "CLIENT_GONE":
		e.Kind, e.Query = policy.ClientDisconnected, policy.QueryID(f.unsigned("req"))
	case "TICK_DUE":
		e.Kind, e.Timer = policy.TimerDue, policy.TimerID(f.integer("ctx"))
	case "PEER_DATA":
		e.Kind, e.Peer = policy.MessageArrived, policy.AggregatorNo(f.integer("originPeer"))
		e.Message = f.bytes("blob")
	default:
		return malformed("unknown message %q", name)
	}
	if err := f.done(); err != nil {
		return err
	}
	h.events = append(h.events, e)
	return nil
}

func (s *server) readList(f *fields) error {
	no, n := f.integer("setId"), f.integer("membersList")
	if err := f.done(); err != nil {
		return err
	}
	if no < 0 || no >= int64(len(s.lists)) || n < 0 {
		return malformed("expected a list number from 0 to 15 and a count, found %d and %d", no, n)
	}
	// A list may be superseded within one batch while events still hold the older one: never write over it.
	entries := make([]policy.Entry, 0, min(n, 1<<16))
	for range n {
		if err := s.readLine(); err != nil {
			return fmt.Errorf("expected %d ROW lines: %w", n, err)
		}
		f := fields{rest: s.line}
		if name := f.word("ROW"); string(name) != "ROW" {
			return malformed("expected ROW, found %q", name)
		}
		e := policy.Entry{Backend: f.backend(), Location: policy.LocationID(f.integer("site")),
			Kind: int(f.integer("type")), Cell: policy.CellID(f.integer("cell"))}
		known := false
		phase := f.word("phase")
		if e.Phase, known = phases[string(phase)]; !known {
			f.fail("phase", "ready, draining or gone", phase)
		}
		e.Share, e.StartedAt = f.optional("share"), f.optional("startTimeS")
		if err := f.done(); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	s.lists[no] = entries
	return nil
}

func appendAction(b []byte, a *policy.Action) []byte {
	verb := func(name string, id uint64) {
		b = append(append(b, name...), ' ')
		b = strconv.AppendUint(b, id, 10)
	}
	num := func(v float64) {
		b = append(b, ' ')
		b = strconv.AppendFloat(b, v, 'f', 6, 64)
	}
	yes := func(v bool) {
		if v {
			b = append(b, " 1"...)
		} else {
			b = append(b, " 0"...)
		}
	}
	switch a.Kind {
	case policy.Send:
		verb("SEND", uint64(a.Subquery))
		b = strconv.AppendUint(append(b, ' '), uint64(a.Backend), 10)
		num(a.StopAt)
	case policy.Cancel:
		verb("ABANDON", uint64(a.Subquery))
		b = strconv.AppendInt(append(b, ' '), int64(a.Call), 10)
	case policy.Answer:
		verb("WRAP_UP", uint64(a.Query))
		yes(a.Complete)
	case policy.Nack:
		verb("SAY_NO", uint64(a.Query))
		num(a.Wait)
	case policy.Abort:
		verb("RESPOND_ERROR", uint64(a.Query))
	case policy.SetTimer:
		b = append(b, "WAKE_ME"...)
		num(a.Wait)
		b = strconv.AppendInt(append(b, ' '), int64(a.Timer), 10)
	case policy.Probe:
		verb("HEALTH_CHECK", uint64(a.Backend))
	case policy.CloseIdle:
		verb("FREE_LINKS", uint64(a.Backend))
	case policy.NotifyPeer:
		b = append(b, "PUBLISH "...)
		if a.Peer == policy.AllPeers {
			b = append(b, '*')
		} else {
			b = strconv.AppendInt(b, int64(a.Peer), 10)
		}
		b = append(b, ' ')
		if len(a.Message) == 0 {
			b = append(b, '-')
		}
		b = base64.StdEncoding.AppendEncode(b, a.Message)
	case policy.Subscribe:
		b = append(b, "LISTEN"...)
		yes(a.On)
	case policy.RequestFullList:
		b = append(b, "LOOKUP"...)
	case policy.Log:
		b = append(append(b, "PRINT "...), strings.ReplaceAll(a.Text, "\n", " ")...)
	default:
		panic(fmt.Sprintf("action kind %d has no word on the wire", a.Kind))
	}
	return append(b, '\n')
}
