// Package udptransport carries sealed messages between nodes: datagrams over UDP, and what is longer over TCP, both at the one
// address that the roster gives a node. It opens nothing and decides nothing. Whoever sends is never held up: what finds
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
	// waiting messages: some rounds of all that a fleet of hundreds may say at once.
	waiting = 4096
	// longWaiting for one other node; what matters is said again.
	longWaiting     = 8
	dialWait        = time.Second
	longWait        = 5 * time.Second  // for a long message, once it has begun
	idleWait        = 10 * time.Second // a connection without one is closed
	mostConnections = 64               // taken in at once
)

// Sockets is the sockets of one node.
type Sockets struct {
	In chan []byte // sealed messages as they came

	udp         *net.UDPConn
	tcp         net.Listener
	count       *counters.Set
	to          map[membership.Name]*net.UDPAddr
	long        map[membership.Name]chan []byte
	ended       chan struct{}
	all         sync.WaitGroup
	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Listen opens the sockets of a node. Its address is a lock too: a second process under the same name gets an error.
func Listen(self string, others map[membership.Name]string, count *counters.Set) (*Sockets, error) {
	s := &Sockets{In: make(chan []byte, waiting), count: count, to: map[membership.Name]*net.UDPAddr{}, long: map[membership.Name]chan []byte{},
		ended: make(chan struct{}), connections: map[net.Conn]bool{}}
	at, err := net.ResolveUDPAddr("udp", self)
	if err != nil {
		return nil, err
	}
	for name, address := range others {
		if s.to[name], err = net.ResolveUDPAddr("udp", address); err != nil {
			return nil, err
		}
		s.long[name] = make(chan []byte, longWaiting)
	}
	if s.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	if s.tcp, err = net.Listen("tcp", self); err != nil {
		s.udp.Close()
		return nil, err
	}
	s.all.Go(s.datagrams)
	s.all.Go(s.accept)
	for name, queue := range s.long {
		s.all.Go(func() { s.carry(others[name], queue) })
	}
	return s, nil
}

// Close ends all of it.
func (s *Sockets) Close() {
	close(s.ended)
	s.udp.Close()
	s.tcp.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.connections {
		c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

// Send sends a message, by datagram if it fits one.
func (s *Sockets) Send(to membership.Name, sealed []byte) {
	if len(sealed) == 0 || s.to[to] == nil {
		s.count.Add("fleet_dropped", "not_sent", 1)
		return
	}
	if len(sealed) > sealedmessage.MostDatagram {
		select {
		case s.long[to] <- sealed:
		default:
			s.count.Add("fleet_dropped", "no_room", 1)
		}
		return
	}
	f := failpoint.Pass(failpoint.SendDatagram)
	for range f.Times() {
		if _, err := s.udp.WriteToUDP(sealed, s.to[to]); err != nil {
			s.count.Add("fleet_dropped", "not_sent", 1)
		}
		s.count.Add("fleet_bytes", "sent", int64(len(sealed)))
	}
}

// put hands in what came. A node that is stopped for a while must not find hours of old messages: the oldest wait, and
// what comes with no room left is dropped.
func (s *Sockets) put(sealed []byte, f failpoint.Fault) {
	for range f.Times() {
		select {
		case s.In <- sealed:
		default:
			s.count.Add("fleet_dropped", "too_many", 1)
		}
	}
}

func (s *Sockets) datagrams() {
	buffer := make([]byte, sealedmessage.MostDatagram+1)
	for {
		n, _, err := s.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // a refused datagram of ours comes back as an error
			continue
		}
		s.count.Add("fleet_bytes", "taken", int64(n))
		s.put(append([]byte(nil), buffer[:n]...), failpoint.Pass(failpoint.TakeDatagram))
	}
}

// carry takes long messages to one other node, one after the other on a connection that it opens when there is one.
func (s *Sockets) carry(address string, queue chan []byte) {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	idle := time.NewTimer(idleWait)
	for {
		select {
		case <-s.ended:
			return
		case <-idle.C:
			if c != nil {
				c.Close()
				c = nil
			}
		case sealed := <-queue:
			idle.Reset(idleWait)
			frame := binary.BigEndian.AppendUint32(nil, uint32(len(sealed)))
			frame = append(frame, sealed...)
			for range failpoint.Pass(failpoint.SendLong).Times() {
				c = s.write(c, address, frame)
			}
		}
	}
}

// write writes a frame on a connection, or on a new one where that has ended meanwhile.
func (s *Sockets) write(c net.Conn, address string, frame []byte) net.Conn {
	for range 2 {
		fresh := c == nil
		if fresh {
			var err error
			if c, err = net.DialTimeout("tcp", address, dialWait); err != nil {
				s.count.Add("fleet_dropped", "no_line", 1)
				return nil
			}
		}
		c.SetWriteDeadline(time.Now().Add(longWait))
		if _, err := c.Write(frame); err == nil {
			s.count.Add("fleet_bytes", "sent", int64(len(frame)))
			return c
		}
		c.Close()
		if c = nil; fresh {
			break
		}
	}
	s.count.Add("fleet_dropped", "line_ended", 1)
	return nil
}

func (s *Sockets) accept() {
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
		room := !s.closed && len(s.connections) < mostConnections
		if room {
			s.connections[c] = true
			s.all.Go(func() { s.read(c) })
		}
		s.mu.Unlock()
		if !room {
			c.Close()
		}
	}
}

// read takes long messages from a connection. No memory is taken on the word of a length: it grows with what comes.
func (s *Sockets) read(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	for {
		var head [4]byte
		c.SetReadDeadline(time.Now().Add(idleWait + longWait))
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > sealedmessage.MostLong {
			s.count.Add("fleet_dropped", sealedmessage.TooLong.String(), 1)
			return
		}
		c.SetReadDeadline(time.Now().Add(longWait))
		sealed, err := io.ReadAll(io.LimitReader(c, int64(n)))
		if err != nil || len(sealed) < int(n) {
			return
		}
		s.count.Add("fleet_bytes", "taken", int64(n))
		s.put(sealed, failpoint.Pass(failpoint.TakeLong))
	}
}
