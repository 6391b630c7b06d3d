// Package benchadapter connects the policy to a simulator that is a separate process. It hosts any number of policy
// instances, decodes the simulator's batches of events into policy.Event values, and encodes the resulting actions. The
// simulator supplies the clock. The package makes no scheduling decision of its own; cmd/benchadapter runs it on standard
// input and output.
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

// instance is one policy instance with its events of the current batch.
type instance struct {
	number     int64
	aggregator *policy.Aggregator
	events     []policy.Event
	hasEvents  bool
}

// server reads batches from in and writes actions and acknowledgments to out.
type server struct {
	in         *bufio.Reader
	out        *bufio.Writer
	line       []byte
	lineNumber int
	instances  map[int64]*instance
	active     []*instance        // instances that this batch has lines for, in the order of their first line
	current    *instance          // selected by the last ON line
	lists      [16][]policy.Entry // backend lists by their number on the wire
	actions    []policy.Action
	buf        []byte
}

// Serve answers batches until the input ends. The error for malformed input contains the line number.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18), instances: map[int64]*instance{}}
	for {
		more, err := s.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
		if !more {
			return nil
		}
	}
}

// readLine reads the next line into s.line, without its line end. It returns io.EOF only if no byte follows; a last line
// without a line end is a ProtocolError.
func (s *server) readLine() error {
	s.line = s.line[:0]
	for {
		chunk, err := s.in.ReadSlice('\n')
		s.line = append(s.line, chunk...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(s.line) > 0 {
			s.lineNumber++
			return malformed("expected a line end, found the end of input in %q", s.line)
		}
		if err != nil {
			return err
		}
		s.lineNumber++
		s.line = s.line[:len(s.line)-1]
		return nil
	}
}

// serveBatch reads and answers one batch. more is false if the input ended before the batch began.
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
	if err := header.expectEnd(); err != nil {
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

// step passes the collected events to the instance's policy and writes the resulting actions. A panic is reported to the
// simulator as a PANIC line and does not end the process.
func (s *server) step(target *instance, now float64) {
	target.hasEvents = false
	if target.aggregator == nil || len(target.events) == 0 {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(s.out, "BY %d\nPANIC %s\n", target.number, strings.ReplaceAll(fmt.Sprint(r), "\n", " "))
		}
	}()
	s.actions = target.aggregator.Step(now, target.events, s.actions[:0])
	target.events = target.events[:0]
	if len(s.actions) == 0 {
		return
	}
	b := append(append(s.buf[:0], "BY "...), strconv.FormatInt(target.number, 10)...)
	b = append(b, '\n')
	for i := range s.actions {
		b = appendAction(b, &s.actions[i])
	}
	s.buf = b
	s.out.Write(b)
}

// readEvent handles one line of a batch. ON selects the instance for the lines that follow, PAGE stores a backend list,
// SPAWN and HALT start and stop the selected instance. Every other line is an event for the selected instance.
func (s *server) readEvent(now float64) error {
	line := fields{rest: s.line}
	name := string(line.next("message name"))
	switch name {
	case "ON":
		s.selectInstance(line.integer("mixerId"))
		return line.expectEnd()
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
		return line.expectEnd()
	}
	var event policy.Event
	if err := s.decodeEvent(name, &line, &event); err != nil {
		return err
	}
	if err := line.expectEnd(); err != nil {
		return err
	}
	target.events = append(target.events, event)
	return nil
}

// selectInstance selects the instance for the lines that follow, and creates it on first use.
func (s *server) selectInstance(number int64) {
	target := s.instances[number]
	if target == nil {
		target = &instance{number: number}
		s.instances[number] = target
	}
	s.current = target
}

// spawn replaces the instance's policy by a new one with the settings in the rest of the line, and discards its pending
// events.
func (target *instance) spawn(line *fields, now float64) error {
	seed := line.unsigned("rngSeed")
	if line.err != nil {
		return line.err
	}
	set, err := settings.Read(seed, line.rest)
	if err != nil {
		return err
	}
	target.aggregator, target.events = policy.New(set.Settings, now), target.events[:0]
	return nil
}

// decodeEvent decodes the values of an event line. It returns an error only for an unknown message name; an invalid value
// is recorded in line and returned by line.expectEnd.
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

// decodeListChange decodes the kind of a list change, and attaches the entries of the list that an earlier PAGE line stored
// under the given number.
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

// decodeQuery decodes a query, or a subquery if the shard number is not negative.
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

// readList reads the backend list that follows a PAGE line and stores it under its number for later events.
func (s *server) readList(header *fields) error {
	number, n := header.integer("setId"), header.integer("membersList")
	if err := header.expectEnd(); err != nil {
		return err
	}
	if number < 0 || number >= int64(len(s.lists)) || n < 0 {
		return malformed("expected a list number from 0 to 15 and a count, found %d and %d", number, n)
	}
	// Always allocate a new slice: a list number may be reused within one batch while events still refer to the old list.
	entries := make([]policy.Entry, 0, min(n, 1<<16))
	for range n {
		if err := s.readLine(); err != nil {
			return fmt.Errorf("expected %d ROW lines: %w", n, err)
		}
		row := fields{rest: s.line}
		if name := row.next("ROW"); string(name) != "ROW" {
			return malformed("expected ROW, found %q", name)
		}
		entry := policy.Entry{Backend: row.backend(), Location: policy.LocationID(row.integer("site")),
			Kind: int(row.integer("type")), Cell: policy.CellID(row.integer("cell"))}
		known := false
		phase := row.next("phase")
		if entry.Phase, known = phases[string(phase)]; !known {
			row.fail("phase", "ready, draining or gone", phase)
		}
		entry.Share, entry.StartedAt = row.optional("share"), row.optional("startTimeS")
		if err := row.expectEnd(); err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	s.lists[number] = entries
	return nil
}

// appendAction appends an action as one line. It panics on an action kind that the protocol has no line for, because that
// is a programming error in this package.
func appendAction(b []byte, action *policy.Action) []byte {
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
	switch action.Kind {
	case policy.Send:
		appendCommand("SEND", uint64(action.Subquery))
		b = strconv.AppendUint(append(b, ' '), uint64(action.Backend), 10)
		appendNumber(action.StopAt)
	case policy.Cancel:
		appendCommand("ABANDON", uint64(action.Subquery))
		b = strconv.AppendInt(append(b, ' '), int64(action.Call), 10)
	case policy.Answer:
		appendCommand("WRAP_UP", uint64(action.Query))
		appendBool(action.Complete)
	case policy.Nack:
		appendCommand("SAY_NO", uint64(action.Query))
		appendNumber(action.Wait)
	case policy.Abort:
		appendCommand("RESPOND_ERROR", uint64(action.Query))
	case policy.SetTimer:
		b = append(b, "WAKE_ME"...)
		appendNumber(action.Wait)
		b = strconv.AppendInt(append(b, ' '), int64(action.Timer), 10)
	case policy.Probe:
		appendCommand("HEALTH_CHECK", uint64(action.Backend))
	case policy.CloseIdle:
		appendCommand("FREE_LINKS", uint64(action.Backend))
	case policy.NotifyPeer:
		b = appendPublish(b, action)
	case policy.Subscribe:
		b = append(b, "LISTEN"...)
		appendBool(action.On)
	case policy.RequestCompleteList:
		b = append(b, "LOOKUP"...)
	case policy.Log:
		b = append(append(b, "PRINT "...), strings.ReplaceAll(action.Text, "\n", " ")...)
	default:
		panic(fmt.Sprintf("action kind %d has no word on the wire", action.Kind))
	}
	return append(b, '\n')
}

// appendPublish appends a message to one peer or to all peers. The message is encoded in base64; an empty message is
// written as "-".
func appendPublish(b []byte, action *policy.Action) []byte {
	b = append(b, "PUBLISH "...)
	if action.Peer == policy.AllPeers {
		b = append(b, '*')
	} else {
		b = strconv.AppendInt(b, int64(action.Peer), 10)
	}
	b = append(b, ' ')
	if len(action.Message) == 0 {
		b = append(b, '-')
	}
	return base64.StdEncoding.AppendEncode(b, action.Message)
}
