// Package udptransport sends and receives sealed messages between nodes. Short messages are sent as datagrams over UDP, and long
// ones over TCP. Both use the one address that the membership defines for a node. The package neither opens messages nor retries
// them. Send never blocks. A message whose queue is full is dropped, as a network might do, and counted.
//
// A long message is sent as a frame: its length in 4 bytes, big endian, followed by the message.
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
	// receiveQueueLength is in messages. It suffices for several rounds of the messages that a fleet of hundreds of nodes may send
	// at once.
	receiveQueueLength = 4096
	// longMessageQueueLength is in messages to one other node. It can be small because senders repeat important messages.
	longMessageQueueLength = 8
	dialTimeout            = time.Second
	frameTimeout           = 5 * time.Second  // to read a frame after its header, or to write one
	idleTimeout            = 10 * time.Second // a sender closes its connection after this time without a frame
	maxConnections         = 64               // open incoming connections
)

// Transport holds the sockets of one node. Send must be called by one goroutine only, and Close only once.
type Transport struct {
	Received chan []byte // sealed messages, in the order of their arrival

	udp               *net.UDPConn
	tcp               net.Listener
	counters          *counters.Set
	addresses         map[membership.Name]*net.UDPAddr
	longMessageQueues map[membership.Name]chan []byte
	closing           chan struct{}
	goroutines        sync.WaitGroup
	mu                sync.Mutex
	connections       map[net.Conn]bool
	closed            bool
}

// Listen opens the sockets of a node and resolves the addresses of its peers. The listening address also serves as a lock: a second
// process of the same node gets an error.
func Listen(listenAddress string, peers map[membership.Name]string, counters *counters.Set) (*Transport, error) {
	transport := &Transport{Received: make(chan []byte, receiveQueueLength), counters: counters, addresses: map[membership.Name]*net.UDPAddr{}, longMessageQueues: map[membership.Name]chan []byte{},
		closing: make(chan struct{}), connections: map[net.Conn]bool{}}
	address, err := net.ResolveUDPAddr("udp", listenAddress)
	if err != nil {
		return nil, err
	}
	for name, address := range peers {
		if transport.addresses[name], err = net.ResolveUDPAddr("udp", address); err != nil {
			return nil, err
		}
		transport.longMessageQueues[name] = make(chan []byte, longMessageQueueLength)
	}
	if transport.udp, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	if transport.tcp, err = net.Listen("tcp", listenAddress); err != nil {
		transport.udp.Close()
		return nil, err
	}
	transport.goroutines.Go(transport.readDatagrams)
	transport.goroutines.Go(transport.accept)
	for name, queue := range transport.longMessageQueues {
		transport.goroutines.Go(func() { transport.sendLongMessages(peers[name], queue) })
	}
	return transport, nil
}

// Close closes the sockets and waits for all goroutines to end.
func (t *Transport) Close() {
	close(t.closing)
	t.udp.Close()
	t.tcp.Close()
	t.mu.Lock()
	t.closed = true
	for connection := range t.connections {
		connection.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// Send sends a message, as a datagram if it fits into one.
func (t *Transport) Send(to membership.Name, sealed []byte) {
	if len(sealed) == 0 || t.addresses[to] == nil {
		t.counters.Add("fleet_dropped", "not_sent", 1)
		return
	}
	if len(sealed) > sealedmessage.MaxDatagramBytes {
		select {
		case t.longMessageQueues[to] <- sealed:
		default:
			t.counters.Add("fleet_dropped", "no_room", 1)
		}
		return
	}
	fault := failpoint.Pass(failpoint.SendDatagram)
	for range fault.Copies() {
		if _, err := t.udp.WriteToUDP(sealed, t.addresses[to]); err != nil {
			t.counters.Add("fleet_dropped", "not_sent", 1)
		}
		t.counters.Add("fleet_bytes", "sent", int64(len(sealed)))
	}
}

// enqueue adds a message to Received. The queue is bounded, so that a process that was paused does not find hours of old messages.
// If it is full, new messages are dropped.
func (t *Transport) enqueue(sealed []byte, fault failpoint.Fault) {
	for range fault.Copies() {
		select {
		case t.Received <- sealed:
		default:
			t.counters.Add("fleet_dropped", "too_many", 1)
		}
	}
}

func (t *Transport) readDatagrams() {
	buffer := make([]byte, sealedmessage.MaxDatagramBytes+1)
	for {
		n, _, err := t.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // ICMP errors for datagrams that this node sent are reported here
			continue
		}
		t.counters.Add("fleet_bytes", "taken", int64(n))
		t.enqueue(append([]byte(nil), buffer[:n]...), failpoint.Pass(failpoint.ReceiveDatagram))
	}
}

// sendLongMessages sends the long messages for one other node one after the other. It opens a connection for the first message, and
// again after the connection was closed.
func (t *Transport) sendLongMessages(address string, queue chan []byte) {
	var connection net.Conn
	defer func() {
		if connection != nil {
			connection.Close()
		}
	}()
	idle := time.NewTimer(idleTimeout)
	for {
		select {
		case <-t.closing:
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
			for range failpoint.Pass(failpoint.SendLong).Copies() {
				connection = t.writeFrame(connection, address, frame)
			}
		}
	}
}

// writeFrame writes a frame to a connection. It opens a new connection if there is none or if the write fails on the given one. It
// returns the connection to use next, or nil if the frame was not sent.
func (t *Transport) writeFrame(connection net.Conn, address string, frame []byte) net.Conn {
	for range 2 {
		dialed := connection == nil
		if dialed {
			var err error
			if connection, err = net.DialTimeout("tcp", address, dialTimeout); err != nil {
				t.counters.Add("fleet_dropped", "no_line", 1)
				return nil
			}
		}
		connection.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := connection.Write(frame); err == nil {
			t.counters.Add("fleet_bytes", "sent", int64(len(frame)))
			return connection
		}
		connection.Close()
		if connection = nil; dialed {
			break
		}
	}
	t.counters.Add("fleet_dropped", "line_ended", 1)
	return nil
}

func (t *Transport) accept() {
	for {
		connection, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // probably out of file descriptors: wait until some are closed
			continue
		}
		t.mu.Lock()
		accepted := !t.closed && len(t.connections) < maxConnections
		if accepted {
			t.connections[connection] = true
			t.goroutines.Go(func() { t.readFrames(connection) })
		}
		t.mu.Unlock()
		if !accepted {
			connection.Close()
		}
	}
}

// readFrames reads long messages from a connection. Memory is allocated as bytes arrive, not by the length in the header.
func (t *Transport) readFrames(connection net.Conn) {
	defer func() {
		connection.Close()
		t.mu.Lock()
		delete(t.connections, connection)
		t.mu.Unlock()
	}()
	for {
		var header [4]byte
		connection.SetReadDeadline(time.Now().Add(idleTimeout + frameTimeout))
		if _, err := io.ReadFull(connection, header[:]); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(header[:])
		if length > sealedmessage.MaxBytes {
			t.counters.Add("fleet_dropped", sealedmessage.TooLong.String(), 1)
			return
		}
		connection.SetReadDeadline(time.Now().Add(frameTimeout))
		sealed, err := io.ReadAll(io.LimitReader(connection, int64(length)))
		if err != nil || len(sealed) < int(length) {
			return
		}
		t.counters.Add("fleet_bytes", "taken", int64(length))
		t.enqueue(sealed, failpoint.Pass(failpoint.ReceiveLong))
	}
}
