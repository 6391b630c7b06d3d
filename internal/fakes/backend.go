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

// Backend is a fake backend on a loopback address. It executes a limited number of subqueries at once and queues the
// others. Each execution takes a random time around the mean service time.
type Backend struct {
	Name string
	Cell int
	Zone string
	// OnCall, if not nil, is called with the query text and the shard of each subquery when it arrives. It must be set
	// before the first call.
	OnCall func(query string, shard int)

	listener     net.Listener
	started      time.Time
	slots        chan struct{}
	serviceTime  atomic.Int64 // mean, in nanoseconds
	failing      atomic.Bool
	unresponsive atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool

	calls        atomic.Int64
	inFlight     atomic.Int64
	maxInFlight  atomic.Int64
	byShard      [1024]atomic.Int64
	executed     map[string]int64    // by subqueryName; guarded by mu
	arrivalTimes map[string]arrivals // by subqueryName; guarded by mu
}

// arrivals holds the times of the first and the last arrival of a subquery.
type arrivals struct{ first, last time.Time }

// NewBackend starts a backend that listens on a loopback address and executes at most slots subqueries at once.
func NewBackend(name, zone string, cell, slots int, serviceTime time.Duration) (*Backend, error) {
	s := &Backend{Name: name, Cell: cell, Zone: zone, slots: make(chan struct{}, slots), connections: map[net.Conn]bool{},
		executed: map[string]int64{}, arrivalTimes: map[string]arrivals{}}
	s.serviceTime.Store(int64(serviceTime))
	return s, s.Start()
}

// Start starts to listen on a free port. After Kill, that is a new port.
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

// Entry returns the backend's registry entry with the given lifecycle state. With startedLongAgo, the entry has start time 0
// instead of the actual start time.
func (s *Backend) Entry(state string, startedLongAgo bool) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Entry{ID: s.Name, Address: s.listener.Addr().String(), Zone: s.Zone, MachineType: "m", Cell: s.Cell, State: state, Weight: 1}
	if !startedLongAgo {
		e.StartedMs = float64(s.started.UnixMilli())
	}
	return e
}

// Kill closes the listener and all connections, as the end of the process would.
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

// SetServiceTime sets the mean service time.
func (s *Backend) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetFailing sets whether the backend answers each executed subquery with a failure.
func (s *Backend) SetFailing(on bool) { s.failing.Store(on) }

// SetUnresponsive sets whether the backend leaves all subqueries and other requests unanswered.
func (s *Backend) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// Calls returns the number of subqueries received so far.
func (s *Backend) Calls() int64 { return s.calls.Load() }

// CallsOf returns the number of subqueries of one shard received so far.
func (s *Backend) CallsOf(shard int) int64 { return s.byShard[shard].Load() }

// InFlight returns the number of received subqueries that are not finished yet.
func (s *Backend) InFlight() int64 { return s.inFlight.Load() }

// MaxInFlight returns the largest value of InFlight since the last call of MaxInFlight.
func (s *Backend) MaxInFlight() int64 { return s.maxInFlight.Swap(s.inFlight.Load()) }

// EachExecuted calls f for each executed subquery with the number of its executions at this backend.
func (s *Backend) EachExecuted(f func(id string, times int64)) {
	s.mu.Lock()
	executed := maps.Clone(s.executed)
	s.mu.Unlock()
	for id, times := range executed {
		f(id, times)
	}
}

// EachArrival calls f for each received subquery with the times of its first and last arrival at this backend.
func (s *Backend) EachArrival(f func(id string, first, last time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.arrivalTimes {
		f(id, at.first, at.last)
	}
}

// recordArrival records the current time as an arrival of a subquery.
func (s *Backend) recordArrival(id string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.arrivalTimes[id]
	if !known {
		at.first = now
	}
	at.last = now
	s.arrivalTimes[id] = at
}

// subqueryName returns a name of a subquery that is unique among all queries: the query's text, and the part of the
// subquery's ID after the dot.
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

// connection is a connection from an aggregator. The answers to all its calls share it, so mu guards writes.
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
	_, _ = conn.Write(frame) // serve's next read detects a closed connection
}

func (s *Backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	conn := &connection{Conn: c}
	canceled := sync.Map{} // by subquery ID
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
			if !s.handleSubqueries(conn, payload, &canceled) {
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

// handleSubqueries parses one frame and starts the execution of each of its subqueries. It reports whether the frame is
// valid.
func (s *Backend) handleSubqueries(conn *connection, remaining []byte, canceled *sync.Map) bool {
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
		go s.execute(conn, string(fields[0]), string(after[:n]), canceled)
		remaining = after[n:]
	}
	return true
}

// execute executes a subquery, unless it was canceled before, and answers it, unless the backend is unresponsive.
func (s *Backend) execute(conn *connection, id, query string, canceled *sync.Map) {
	defer s.inFlight.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if _, isCanceled := canceled.Load(id); isCanceled {
		return
	}
	s.mu.Lock()
	s.executed[subqueryName(id, query)]++
	s.mu.Unlock()
	mean := float64(s.serviceTime.Load())
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
