// Package udptransport carries sealed messages between nodes: datagrams over UDP, and longer messages over TCP, both at the
// one address that the membership gives a node. It neither opens messages nor retries them. Send never blocks: a message that
// finds its queue full is dropped, as a network would drop it, and counted.
//
// A long message is framed by its length, in 4 bytes, big endian.
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
	// receiveQueueLength is in messages: several rounds of what a fleet of hundreds may send at once.
	receiveQueueLength = 4096
	// longQueueLength is in messages to one other node; senders repeat what matters.
	longQueueLength = 8
	dialTimeout     = time.Second
	frameTimeout    = 5 * time.Second  // for a frame, once its header has come
	idleTimeout     = 10 * time.Second // then a connection without a frame is closed
	maxConnections  = 64               // accepted at once
)

// Transport is the sockets of one node. Send may be called from one goroutine, Close once.
type Transport struct {
	Received chan []byte // sealed messages, in the order of their arrival

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

// Listen opens the sockets of a node and resolves its peers' addresses. The address is a lock too: a second process under the
// same name gets an error.
func Listen(self string, peers map[membership.Name]string, counters *counters.Set) (*Transport, error) {
	transport := &Transport{Received: make(chan []byte, receiveQueueLength), counters: counters, addresses: map[membership.Name]*net.UDPAddr{}, longQueues: map[membership.Name]chan []byte{},
		closing: make(chan struct{}), connections: map[net.Conn]bool{}}
	address, err := net.ResolveUDPAddr("udp", self)
	if err != nil {
		return nil, err
	}
	for name, address := range peers {
		if transport.addresses[name], err = net.ResolveUDPAddr("udp", address); err != nil {
			return nil, err
		}
		transport.longQueues[name] = make(chan []byte, longQueueLength)
	}
	if transport.udp, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	if transport.tcp, err = net.Listen("tcp", self); err != nil {
		transport.udp.Close()
		return nil, err
	}
	transport.goroutines.Go(transport.readDatagrams)
	transport.goroutines.Go(transport.accept)
	for name, queue := range transport.longQueues {
		transport.goroutines.Go(func() { transport.sendLong(peers[name], queue) })
	}
	return transport, nil
}

// Close closes the sockets, and returns once all goroutines have ended.
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

// Send sends a message, by datagram if it fits into one.
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
	fault := failpoint.Pass(failpoint.SendDatagram)
	for range fault.Times() {
		if _, err := s.udp.WriteToUDP(sealed, s.addresses[to]); err != nil {
			s.counters.Add("fleet_dropped", "not_sent", 1)
		}
		s.counters.Add("fleet_bytes", "sent", int64(len(sealed)))
	}
}

// enqueue hands a message to the reader of Received. The queue is bounded, so that a process that was paused does not find hours
// of old messages: the newest are dropped.
func (s *Transport) enqueue(sealed []byte, fault failpoint.Fault) {
	for range fault.Times() {
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
		case err != nil: // an ICMP error for a datagram of ours is reported here
			continue
		}
		s.counters.Add("fleet_bytes", "taken", int64(n))
		s.enqueue(append([]byte(nil), buffer[:n]...), failpoint.Pass(failpoint.ReceiveDatagram))
	}
}

// sendLong sends long messages to one other node, one after the other, over a connection that it opens for the first of them.
func (s *Transport) sendLong(address string, queue chan []byte) {
	var connection net.Conn
	defer func() {
		if connection != nil {
			connection.Close()
		}
	}()
	idle := time.NewTimer(idleTimeout)
	for {
		select {
		case <-s.closing:
			return
		case <-idle.C:
			if connection != nil {
				connection.Close()
				connection = nil
			}
		case sealed := <-queue:
			idle.Reset(idleTimeout)
			frame := binary.BigEndian.AppendUint32(nil, uint32(len(sealed)))
			frame = append(frame, sealed...)
			for range failpoint.Pass(failpoint.SendLong).Times() {
				connection = s.writeFrame(connection, address, frame)
			}
		}
	}
}

// writeFrame writes a frame to a connection, or to a new one where that was closed meanwhile. It returns the connection to use next.
func (s *Transport) writeFrame(connection net.Conn, address string, frame []byte) net.Conn {
	for range 2 {
		dialed := connection == nil
		if dialed {
			var err error
			if connection, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
				s.counters.Add("fleet_dropped", "no_line", 1)
				return nil
			}
		}
		connection.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := connection.Write(frame); err == nil {
			s.counters.Add("fleet_bytes", "sent", int64(len(frame)))
			return connection
		}
		connection.Close()
		if connection = nil; dialed {
			break
		}
	}
	s.counters.Add("fleet_dropped", "line_ended", 1)
	return nil
}

func (s *Transport) accept() {
	for {
		connection, err := s.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no file descriptor is left: wait for others to be closed
			continue
		}
		s.mu.Lock()
		accepted := !s.closed && len(s.connections) < maxConnections
		if accepted {
			s.connections[connection] = true
			s.goroutines.Go(func() { s.readFrames(connection) })
		}
		s.mu.Unlock()
		if !accepted {
			connection.Close()
		}
	}
}

// readFrames reads long messages from a connection. Memory grows with the bytes that come, and not by the length in the header.
func (s *Transport) readFrames(connection net.Conn) {
	defer func() {
		connection.Close()
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
	}()
	for {
		var header [4]byte
		connection.SetReadDeadline(time.Now().Add(idleTimeout + frameTimeout))
		if _, err := io.ReadFull(connection, header[:]); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(header[:])
		if length > sealedmessage.MaxBytes {
			s.counters.Add("fleet_dropped", sealedmessage.TooLong.String(), 1)
			return
		}
		connection.SetReadDeadline(time.Now().Add(frameTimeout))
		sealed, err := io.ReadAll(io.LimitReader(connection, int64(length)))
		if err != nil || len(sealed) < int(length) {
			return
		}
		s.counters.Add("fleet_bytes", "taken", int64(length))
		s.enqueue(sealed, failpoint.Pass(failpoint.ReceiveLong))
	}
}
