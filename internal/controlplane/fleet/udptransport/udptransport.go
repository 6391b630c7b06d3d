// Package udptransport carries sealed messages between nodes: datagrams over UDP, and what is longer over TCP, both at the one
// address that the membership gives a node. It opens nothing and decides nothing. Whoever sends is never held up: what finds
// no room is dropped, as a network drops it, and counted.
package udptransport

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
	"puffinlink.example/puffinlink/internal/counters"
)

const (
	// receiveQueueLength messages: some rounds of all that a fleet of hundreds may say at once.
	receiveQueueLength = 4096
	// longQueueLength for one other node; what matters is said again.
	longQueueLength = 8
	dialTimeout     = time.Second
	frameTimeout    = 5 * time.Second  // for a long message, once it has begun
	idleTimeout     = 10 * time.Second // a connection without one is closed
	maxConnections  = 64               // taken in at once
)

// Transport is the sockets of one node.
type Transport struct {
	Received chan []byte // sealed messages as they came

	udp         *net.UDPConn
	tcp         net.Listener
	counters    *counters.Set
	addresses   map[membership.Name]*net.UDPAddr
	longQueues  map[membership.Name]chan []byte
	closing     chan struct{}
	goroutines  sync.WaitGroup
	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Listen opens the sockets of a node. Its address is a lock too: a second process under the same name gets an error.
func Listen(self string, others map[membership.Name]string, count *counters.Set) (*Transport, error) {
	s := &Transport{Received: make(chan []byte, receiveQueueLength), counters: count, addresses: map[membership.Name]*net.UDPAddr{}, longQueues: map[membership.Name]chan []byte{},
		closing: make(chan struct{}), connections: map[net.Conn]bool{}}
	at, err := net.ResolveUDPAddr("udp", self)
	if err != nil {
		return nil, err
	}
	for name, address := range others {
		if s.addresses[name], err = net.ResolveUDPAddr("udp", address); err != nil {
			return nil, err
		}
		s.longQueues[name] = make(chan []byte, longQueueLength)
	}
	if s.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	if s.tcp, err = net.Listen("tcp", self); err != nil {
		s.udp.Close()
		return nil, err
	}
	s.goroutines.Go(s.readDatagrams)
	s.goroutines.Go(s.accept)
	for name, queue := range s.longQueues {
		s.goroutines.Go(func() { s.sendLong(others[name], queue) })
	}
	return s, nil
}

// Close ends all of it.
func (s *Transport) Close() {
	close(s.closing)
	s.udp.Close()
	s.tcp.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.connections {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Send sends a message, by datagram if it fits one.
func (s *Transport) Send(to membership.Name, sealed []byte) {
	if len(sealed) == 0 || s.addresses[to] == nil {
		s.counters.Add("fleet_dropped", "not_sent", 1)
		return
	}
	if len(sealed) > sealedmessage.MaxDatagramBytes {
		select {
		case s.longQueues[to] <- sealed:
		default:
			s.counters.Add("fleet_dropped", "no_room", 1)
		}
		return
	}
	f := failpoint.Pass(failpoint.SendDatagram)
	for range f.Times() {
		if _, err := s.udp.WriteToUDP(sealed, s.addresses[to]); err != nil {
			s.counters.Add("fleet_dropped", "not_sent", 1)
		}
		s.counters.Add("fleet_bytes", "sent", int64(len(sealed)))
	}
}

// enqueue hands in what came. A node that is stopped for a while must not find hours of old messages: the oldest wait, and
// what comes with no room left is dropped.
func (s *Transport) enqueue(sealed []byte, f failpoint.Fault) {
	for range f.Times() {
		select {
		case s.Received <- sealed:
		default:
			s.counters.Add("fleet_dropped", "too_many", 1)
		}
	}
}

func (s *Transport) readDatagrams() {
	buffer := make([]byte, sealedmessage.MaxDatagramBytes+1)
	for {
		n, _, err := s.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // a refused datagram of ours comes back as an error
			continue
		}
		s.counters.Add("fleet_bytes", "taken", int64(n))
		s.enqueue(append([]byte(nil), buffer[:n]...), failpoint.Pass(failpoint.ReceiveDatagram))
	}
}

// sendLong takes long messages to one other node, one after the other on a connection that it opens when there is one.
func (s *Transport) sendLong(address string, queue chan []byte) {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	idle := time.NewTimer(idleTimeout)
	for {
		select {
		case <-s.closing:
			return
		case <-idle.C:
			if c != nil {
				c.Close()
				c = nil
			}
		case sealed := <-queue:
			idle.Reset(idleTimeout)
			frame := binary.BigEndian.AppendUint32(nil, uint32(len(sealed)))
			frame = append(frame, sealed...)
			for range failpoint.Pass(failpoint.SendLong).Times() {
				c = s.writeFrame(c, address, frame)
			}
		}
	}
}

// writeFrame writes a frame on a connection, or on a new one where that has ended meanwhile.
func (s *Transport) writeFrame(c net.Conn, address string, frame []byte) net.Conn {
	for range 2 {
		fresh := c == nil
		if fresh {
			var err error
			if c, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
				s.counters.Add("fleet_dropped", "no_line", 1)
				return nil
			}
		}
		c.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := c.Write(frame); err == nil {
			s.counters.Add("fleet_bytes", "sent", int64(len(frame)))
			return c
		}
		c.Close()
		if c = nil; fresh {
			break
		}
	}
	s.counters.Add("fleet_dropped", "line_ended", 1)
	return nil
}

func (s *Transport) accept() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no descriptor left: others end
			continue
		}
		s.mu.Lock()
		room := !s.closed && len(s.connections) < maxConnections
		if room {
			s.connections[c] = true
			s.goroutines.Go(func() { s.readFrames(c) })
		}
		s.mu.Unlock()
		if !room {
			c.Close()
		}
	}
}

// readFrames takes long messages from a connection. No memory is taken on the word of a length: it grows with what comes.
func (s *Transport) readFrames(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	for {
		var head [4]byte
		c.SetReadDeadline(time.Now().Add(idleTimeout + frameTimeout))
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > sealedmessage.MaxBytes {
			s.counters.Add("fleet_dropped", sealedmessage.TooLong.String(), 1)
			return
		}
		c.SetReadDeadline(time.Now().Add(frameTimeout))
		sealed, err := io.ReadAll(io.LimitReader(c, int64(n)))
		if err != nil || len(sealed) < int(n) {
			return
		}
		s.counters.Add("fleet_bytes", "taken", int64(n))
		s.enqueue(sealed, failpoint.Pass(failpoint.ReceiveLong))
	}
}
