package fakes

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Backend answers calls, so many at once and the others queued, each after a service time.
type Backend struct {
	Name string
	Cell int
	Zone string
	// OnCall, where it is set before the first call, is called with each call's query text and shard, as it arrives.
	OnCall func(query string, shard int)

	listener     net.Listener
	started      time.Time
	slots        chan struct{}
	service      atomic.Int64 // mean, ns
	failing      atomic.Bool
	unresponsive atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool

	calls       atomic.Int64
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	byShard     [1024]atomic.Int64
	executed    map[string]int64    // by subquery id; mu guards it
	arrived     map[string]arrivals // by subquery id; mu guards it
}

// arrivals are when a subquery arrived for the first and the last time.
type arrivals struct{ first, last time.Time }

// NewBackend listens on loopback, with so many slots.
func NewBackend(name, zone string, cell, slots int, service time.Duration) (*Backend, error) {
	s := &Backend{Name: name, Cell: cell, Zone: zone, slots: make(chan struct{}, slots), connections: map[net.Conn]bool{},
		executed: map[string]int64{}, arrived: map[string]arrivals{}}
	s.service.Store(int64(service))
	return s, s.Start()
}

// Start listens, on a new port after a Kill.
func (s *Backend) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.closed, s.started = l, false, time.Now()
	s.mu.Unlock()
	go s.accept(l)
	return nil
}

// Entry is how the registry lists it; long past says that it started long ago.
func (s *Backend) Entry(state string, longPast bool) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Entry{ID: s.Name, Address: s.listener.Addr().String(), Zone: s.Zone, Kind: "m", Cell: s.Cell, State: state, Weight: 1}
	if !longPast {
		e.StartedMs = float64(s.started.UnixMilli())
	}
	return e
}

// Kill ends its connections and listens no more, as a process that dies.
func (s *Backend) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for c := range s.connections {
		c.Close()
	}
	clear(s.connections)
}

// SetService changes the mean service time.
func (s *Backend) SetService(d time.Duration) { s.service.Store(int64(d)) }

// SetFailing lets it fail each call.
func (s *Backend) SetFailing(on bool) { s.failing.Store(on) }

// SetUnresponsive lets it answer nothing.
func (s *Backend) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// Calls counts the calls that it has received.
func (s *Backend) Calls() int64 { return s.calls.Load() }

// CallsOf counts the calls of one shard that it has received.
func (s *Backend) CallsOf(shard int) int64 { return s.byShard[shard].Load() }

// InFlight counts the calls that it has not finished.
func (s *Backend) InFlight() int64 { return s.inFlight.Load() }

// MaxInFlight is the peak of Out since the last call of MaxInFlight.
func (s *Backend) MaxInFlight() int64 { return s.maxInFlight.Swap(s.inFlight.Load()) }

// Executed tells how often each subquery was executed here.
func (s *Backend) Executed(f func(id string, times int64)) {
	s.mu.Lock()
	executed := maps.Clone(s.executed)
	s.mu.Unlock()
	for id, times := range executed {
		f(id, times)
	}
}

// Arrivals tells when each subquery came here first and last.
func (s *Backend) Arrivals(f func(id string, first, last time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.arrived {
		f(id, at.first, at.last)
	}
}

// recordArrival notes a subquery's arrival.
func (s *Backend) recordArrival(id string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.arrived[id]
	if !known {
		at.first = now
	}
	at.last = now
	s.arrived[id] = at
}

// subqueryName is a subquery's name among all queries: its query's text and its shard.
func subqueryName(id, query string) string {
	return query + " " + id[bytes.IndexByte([]byte(id), '.')+1:]
}

func (s *Backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			c.Close()
		} else {
			s.connections[c] = true
		}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// connection is one that an aggregator opened; answers of many calls share its writing side.
type connection struct {
	net.Conn
	mu sync.Mutex
}

func (conn *connection) writeFrame(frameType byte, payload []byte) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)))
	frame = append(append(frame, frameType), payload...)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(frame) // an aggregator that has left is found by the read
}

func (s *Backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	conn := &connection{Conn: c}
	canceled := sync.Map{} // ids canceled
	reader := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(reader, frame); err != nil || len(frame) == 0 {
			return
		}
		switch payload := frame[1:]; frame[0] {
		case 'S':
			if !s.call(conn, payload, &canceled) {
				conn.writeFrame('F', []byte("can't be read"))
				return
			}
		case 'C':
			canceled.Store(string(payload), true)
		case 'H', 'M':
			if s.unresponsive.Load() {
				continue
			}
			answer := "done"
			if frame[0] == 'M' {
				answer = "-"
			}
			conn.writeFrame(frame[0], []byte(answer))
		default:
			conn.writeFrame('F', []byte("unknown letter"))
			return
		}
	}
}

// call takes the subqueries of one frame.
func (s *Backend) call(conn *connection, remaining []byte, canceled *sync.Map) bool {
	for len(remaining) > 0 {
		head, after, found := bytes.Cut(remaining, []byte{'\n'})
		fields := bytes.Fields(head)
		if !found || len(fields) != 4 {
			return false
		}
		shard, err := strconv.Atoi(string(fields[1]))
		n, err2 := strconv.Atoi(string(fields[3]))
		if err != nil || err2 != nil || n > len(after) || shard < 0 || shard >= len(s.byShard) {
			return false
		}
		s.calls.Add(1)
		s.byShard[shard].Add(1)
		if inFlight := s.inFlight.Add(1); inFlight > s.maxInFlight.Load() {
			s.maxInFlight.Store(inFlight)
		}
		if s.OnCall != nil {
			s.OnCall(string(after[:n]), shard)
		}
		s.recordArrival(subqueryName(string(fields[0]), string(after[:n])))
		go s.work(conn, string(fields[0]), string(after[:n]), canceled)
		remaining = after[n:]
	}
	return true
}

func (s *Backend) work(conn *connection, id, query string, canceled *sync.Map) {
	defer s.inFlight.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if _, isCanceled := canceled.Load(id); isCanceled {
		return
	}
	s.mu.Lock()
	s.executed[subqueryName(id, query)]++
	s.mu.Unlock()
	mean := float64(s.service.Load())
	time.Sleep(time.Duration(mean * (0.5 + rand.Float64())))
	end := "done"
	switch {
	case s.unresponsive.Load():
		return
	case s.failing.Load():
		end = "failed"
	}
	conn.writeFrame('R', fmt.Appendf(nil, "%s %s 1 -\nv-%s", id, end, s.Name))
}
