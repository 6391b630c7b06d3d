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
	number     int64
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
	header := fields{rest: s.line}
	if name := header.next("TICK"); string(name) != "TICK" {
		return true, malformed("expected TICK, found %q", name)
	}
	now, seq := header.number("clock"), header.integer("batch number")
	if err := header.done(); err != nil {
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
	for _, target := range s.active {
		s.step(target, now)
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
			fmt.Fprintf(s.out, "BY %d\nPANIC %s\n", h.number, strings.ReplaceAll(fmt.Sprint(r), "\n", " "))
		}
	}()
	s.actions = h.aggregator.Step(now, h.events, s.actions[:0])
	h.events = h.events[:0]
	if len(s.actions) == 0 {
		return
	}
	b := append(append(s.buf[:0], "BY "...), strconv.FormatInt(h.number, 10)...)
	b = append(b, '\n')
	for i := range s.actions {
		b = appendAction(b, &s.actions[i])
	}
	s.buf = b
	s.out.Write(b)
}

// readEvent takes one line of a batch: it chooses the instance that the next lines are for, takes a list, or adds an event
// to the chosen instance's batch.
func (s *server) readEvent(now float64) error {
	line := fields{rest: s.line}
	name := string(line.next("message name"))
	switch name {
	case "ON":
		s.selectInstance(line.integer("mixerId"))
		return line.done()
	case "PAGE":
		return s.readList(&line)
	}
	target := s.current
	if target == nil {
		return malformed("expected ON before %s", name)
	}
	if target.aggregator == nil && name != "SPAWN" {
		return malformed("expected SPAWN for instance %d before %s", target.number, name)
	}
	if !target.hasEvents {
		target.hasEvents = true
		s.active = append(s.active, target)
	}
	switch name {
	case "SPAWN":
		return target.spawn(&line, now)
	case "HALT":
		target.aggregator, target.events = nil, target.events[:0]
		return line.done()
	}
	var event policy.Event
	if err := s.decodeEvent(name, &line, &event); err != nil {
		return err
	}
	if err := line.done(); err != nil {
		return err
	}
	target.events = append(target.events, event)
	return nil
}

// selectInstance makes an instance the one that the next lines are for.
func (s *server) selectInstance(number int64) {
	target := s.instances[number]
	if target == nil {
		target = &instance{number: number}
		s.instances[number] = target
	}
	s.current = target
}

// spawn starts the instance's module anew, by the settings that the rest of the line holds.
func (h *instance) spawn(line *fields, now float64) error {
	seed := line.unsigned("rngSeed")
	if line.err != nil {
		return line.err
	}
	set, err := settings.Read(seed, line.rest)
	if err != nil {
		return err
	}
	h.aggregator, h.events = policy.New(set.Settings, now), h.events[:0]
	return nil
}

// decodeEvent reads the values of an event's line. Mistakes in values are kept by line; the error says that there is no
// such message.
func (s *server) decodeEvent(name string, line *fields, event *policy.Event) error {
	switch name {
	case "BACKENDS_CHANGED":
		s.decodeListChange(line, event)
	case "REQUEST":
		decodeQuery(line, event)
	case "ESTABLISHED":
		event.Kind, event.Subquery, event.Backend = policy.ResponseStarted, policy.SubqueryID(line.unsigned("req")), line.backend()
		event.Call, event.Elapsed = policy.CallNumber(line.integer("copy")), line.number("costTimeS")
	case "ATTEMPT_END":
		event.Kind, event.Subquery, event.Call = policy.CallEnded, policy.SubqueryID(line.unsigned("req")), policy.CallNumber(line.integer("copy"))
		event.Backend, event.Outcome, event.Elapsed = line.backend(), line.outcome(), line.number("costTimeS")
		line.integer("complete")
		event.Load = line.load()
	case "PING_RESULT":
		event.Kind, event.Elapsed, event.Outcome = policy.ProbeEnded, line.number("costTimeS"), line.outcome()
		event.Backend, event.Load = line.backend(), line.load()
	case "CLIENT_GONE":
		event.Kind, event.Query = policy.ClientDisconnected, policy.QueryID(line.unsigned("req"))
	case "TICK_DUE":
		event.Kind, event.Timer = policy.TimerDue, policy.TimerID(line.integer("ctx"))
	case "PEER_DATA":
		event.Kind, event.Peer = policy.MessageReceived, policy.AggregatorNumber(line.integer("originPeer"))
		event.Message = line.bytes("blob")
	default:
		return malformed("unknown message %q", name)
	}
	return nil
}

// decodeListChange reads which kind of change it is, and takes the entries of the list that was sent before under its
// number.
func (s *server) decodeListChange(line *fields, event *policy.Event) {
	page, _, kind := line.next("setId"), line.next("epoch"), line.next("kind")
	known := false
	if event.List, known = listKinds[string(kind)]; !known {
		line.fail("kind", "patch, whole, stale_copy or broken", kind)
	}
	event.Kind = policy.ListChanged
	if event.List != policy.ListFailed {
		if number, err := strconv.Atoi(string(page)); err != nil || number < 0 || number >= len(s.lists) {
			line.fail("setId", "0 to 15", page)
		} else {
			event.Entries = s.lists[number]
		}
	}
}

// decodeQuery reads a query, or one of its subqueries where the line names a shard.
func decodeQuery(line *fields, event *policy.Event) {
	id := line.unsigned("req")
	event.Index, event.Customer = policy.IndexID(line.integer("cls")), policy.CustomerID(line.optional("owner"))
	event.Key, event.HasKey = line.hex("object")
	event.Remaining, event.Hint = line.number("timeBudgetS"), line.optional("costS")
	event.QueryNumber = policy.QueryNumber(line.integer("queryNo"))
	shard, amount := line.integer("shard"), line.number("amount")
	event.Resent = line.optional("resent") != 0
	line.optional("isWrite")
	if shard < 0 {
		event.Kind, event.Query, event.Subqueries = policy.QueryReceived, policy.QueryID(id), int(amount)
	} else {
		event.Kind, event.Subquery, event.Shard, event.Weight = policy.SubqueryReceived, policy.SubqueryID(id), policy.ShardID(shard), amount
	}
}

// readList takes the list of backends that follows, for the events that name its number.
func (s *server) readList(f *fields) error {
	number, n := f.integer("setId"), f.integer("membersList")
	if err := f.done(); err != nil {
		return err
	}
	if number < 0 || number >= int64(len(s.lists)) || n < 0 {
		return malformed("expected a list number from 0 to 15 and a count, found %d and %d", number, n)
	}
	// A list may be superseded within one batch while events still hold the older one: never write over it.
	entries := make([]policy.Entry, 0, min(n, 1<<16))
	for range n {
		if err := s.readLine(); err != nil {
			return fmt.Errorf("expected %d ROW lines: %w", n, err)
		}
		f := fields{rest: s.line}
		if name := f.next("ROW"); string(name) != "ROW" {
			return malformed("expected ROW, found %q", name)
		}
		entry := policy.Entry{Backend: f.backend(), Location: policy.LocationID(f.integer("site")),
			Kind: int(f.integer("type")), Cell: policy.CellID(f.integer("cell"))}
		known := false
		phase := f.next("phase")
		if entry.Phase, known = phases[string(phase)]; !known {
			f.fail("phase", "ready, draining or gone", phase)
		}
		entry.Share, entry.StartedAt = f.optional("share"), f.optional("startTimeS")
		if err := f.done(); err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	s.lists[number] = entries
	return nil
}

// appendAction writes an action as one line. An action that the wire has no line for is a mistake of this package: it panics.
func appendAction(b []byte, a *policy.Action) []byte {
	appendCommand := func(name string, id uint64) {
		b = append(append(b, name...), ' ')
		b = strconv.AppendUint(b, id, 10)
	}
	appendNumber := func(value float64) {
		b = append(b, ' ')
		b = strconv.AppendFloat(b, value, 'f', 6, 64)
	}
	appendBool := func(value bool) {
		if value {
			b = append(b, " 1"...)
		} else {
			b = append(b, " 0"...)
		}
	}
	switch a.Kind {
	case policy.Send:
		appendCommand("SEND", uint64(a.Subquery))
		b = strconv.AppendUint(append(b, ' '), uint64(a.Backend), 10)
		appendNumber(a.StopAt)
	case policy.Cancel:
		appendCommand("ABANDON", uint64(a.Subquery))
		b = strconv.AppendInt(append(b, ' '), int64(a.Call), 10)
	case policy.Answer:
		appendCommand("WRAP_UP", uint64(a.Query))
		appendBool(a.Complete)
	case policy.Nack:
		appendCommand("SAY_NO", uint64(a.Query))
		appendNumber(a.Wait)
	case policy.Abort:
		appendCommand("RESPOND_ERROR", uint64(a.Query))
	case policy.SetTimer:
		b = append(b, "WAKE_ME"...)
		appendNumber(a.Wait)
		b = strconv.AppendInt(append(b, ' '), int64(a.Timer), 10)
	case policy.Probe:
		appendCommand("HEALTH_CHECK", uint64(a.Backend))
	case policy.CloseIdle:
		appendCommand("FREE_LINKS", uint64(a.Backend))
	case policy.NotifyPeer:
		b = appendPublish(b, a)
	case policy.Subscribe:
		b = append(b, "LISTEN"...)
		appendBool(a.On)
	case policy.RequestCompleteList:
		b = append(b, "LOOKUP"...)
	case policy.Log:
		b = append(append(b, "PRINT "...), strings.ReplaceAll(a.Text, "\n", " ")...)
	default:
		panic(fmt.Sprintf("action kind %d has no word on the wire", a.Kind))
	}
	return append(b, '\n')
}

// appendPublish writes a message to one peer, or to all: its bytes in base64, or "-" where there are none.
func appendPublish(b []byte, a *policy.Action) []byte {
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
	return base64.StdEncoding.AppendEncode(b, a.Message)
}
