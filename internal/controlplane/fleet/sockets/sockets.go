// Package sockets carries sealed letters between mixers: datagrams over UDP, and what is longer over TCP, both at the one
// address that the roster gives a mixer. It opens nothing and decides nothing. Whoever sends is never held up: what finds
// no room is dropped, as a network drops it, and counted.
package sockets

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/link"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/roster"
	"puffinlink.example/puffinlink/internal/counters"
)

const (
	// waiting letters: some rounds of all that a fleet of hundreds may say at once.
	waiting = 4096
	// longWaiting for one other mixer; what matters is said again.
	longWaiting = 8
	dialWait    = time.Second
	longWait    = 5 * time.Second  // for a long letter, once it has begun
	idleWait    = 10 * time.Second // a line without one is closed
	mostLines   = 64               // taken in at once
)

// Post is the sockets of one mixer.
type Post struct {
	In chan []byte // sealed letters as they came

	udp    *net.UDPConn
	tcp    net.Listener
	count  *counters.Set
	to     map[roster.Name]*net.UDPAddr
	long   map[roster.Name]chan []byte
	ended  chan struct{}
	all    sync.WaitGroup
	mu     sync.Mutex
	lines  map[net.Conn]bool
	closed bool
}

// Listen opens the sockets of a mixer. Its address is a lock too: a second process under the same name gets an error.
func Listen(self string, others map[roster.Name]string, count *counters.Set) (*Post, error) {
	p := &Post{In: make(chan []byte, waiting), count: count, to: map[roster.Name]*net.UDPAddr{}, long: map[roster.Name]chan []byte{},
		ended: make(chan struct{}), lines: map[net.Conn]bool{}}
	at, err := net.ResolveUDPAddr("udp", self)
	if err != nil {
		return nil, err
	}
	for name, address := range others {
		if p.to[name], err = net.ResolveUDPAddr("udp", address); err != nil {
			return nil, err
		}
		p.long[name] = make(chan []byte, longWaiting)
	}
	if p.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	if p.tcp, err = net.Listen("tcp", self); err != nil {
		p.udp.Close()
		return nil, err
	}
	p.all.Go(p.datagrams)
	p.all.Go(p.accept)
	for name, queue := range p.long {
		p.all.Go(func() { p.carry(others[name], queue) })
	}
	return p, nil
}

// Close ends all of it.
func (p *Post) Close() {
	close(p.ended)
	p.udp.Close()
	p.tcp.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.lines {
		c.Close()
	}
	p.mu.Unlock()
	p.all.Wait()
}

// Send sends a letter, by datagram if it fits one.
func (p *Post) Send(to roster.Name, sealed []byte) {
	if len(sealed) == 0 || p.to[to] == nil {
		p.count.Add("fleet_dropped", "not_sent", 1)
		return
	}
	if len(sealed) > link.MostDatagram {
		select {
		case p.long[to] <- sealed:
		default:
			p.count.Add("fleet_dropped", "no_room", 1)
		}
		return
	}
	f := failpoint.Pass(failpoint.SendDatagram)
	for range f.Times() {
		if _, err := p.udp.WriteToUDP(sealed, p.to[to]); err != nil {
			p.count.Add("fleet_dropped", "not_sent", 1)
		}
		p.count.Add("fleet_bytes", "sent", int64(len(sealed)))
	}
}

// put hands in what came. A mixer that is stopped for a while must not find hours of old letters: the oldest wait, and
// what comes with no room left is dropped.
func (p *Post) put(sealed []byte, f failpoint.Fault) {
	for range f.Times() {
		select {
		case p.In <- sealed:
		default:
			p.count.Add("fleet_dropped", "too_many", 1)
		}
	}
}

func (p *Post) datagrams() {
	buffer := make([]byte, link.MostDatagram+1)
	for {
		n, _, err := p.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // a refused datagram of ours comes back as an error
			continue
		}
		p.count.Add("fleet_bytes", "taken", int64(n))
		p.put(append([]byte(nil), buffer[:n]...), failpoint.Pass(failpoint.TakeDatagram))
	}
}

// carry takes long letters to one other mixer, one after the other on a line that it opens when there is one.
func (p *Post) carry(address string, queue chan []byte) {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	idle := time.NewTimer(idleWait)
	for {
		select {
		case <-p.ended:
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
				c = p.write(c, address, frame)
			}
		}
	}
}

// write writes a frame on a line, or on a new one where that has ended meanwhile.
func (p *Post) write(c net.Conn, address string, frame []byte) net.Conn {
	for range 2 {
		fresh := c == nil
		if fresh {
			var err error
			if c, err = net.DialTimeout("tcp", address, dialWait); err != nil {
				p.count.Add("fleet_dropped", "no_line", 1)
				return nil
			}
		}
		c.SetWriteDeadline(time.Now().Add(longWait))
		if _, err := c.Write(frame); err == nil {
			p.count.Add("fleet_bytes", "sent", int64(len(frame)))
			return c
		}
		c.Close()
		if c = nil; fresh {
			break
		}
	}
	p.count.Add("fleet_dropped", "line_ended", 1)
	return nil
}

func (p *Post) accept() {
	for {
		c, err := p.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no descriptor left: others end
			continue
		}
		p.mu.Lock()
		room := !p.closed && len(p.lines) < mostLines
		if room {
			p.lines[c] = true
			p.all.Go(func() { p.read(c) })
		}
		p.mu.Unlock()
		if !room {
			c.Close()
		}
	}
}

// read takes long letters from a line. No memory is taken on the word of a length: it grows with what comes.
func (p *Post) read(c net.Conn) {
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.lines, c)
		p.mu.Unlock()
	}()
	for {
		var head [4]byte
		c.SetReadDeadline(time.Now().Add(idleWait + longWait))
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > link.MostLong {
			p.count.Add("fleet_dropped", link.TooLong.String(), 1)
			return
		}
		c.SetReadDeadline(time.Now().Add(longWait))
		sealed, err := io.ReadAll(io.LimitReader(c, int64(n)))
		if err != nil || len(sealed) < int(n) {
			return
		}
		p.count.Add("fleet_bytes", "taken", int64(n))
		p.put(sealed, failpoint.Pass(failpoint.TakeLong))
	}
}
