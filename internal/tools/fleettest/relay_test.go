package fleettest

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a relay does to what goes through it.
type Fault struct {
	Partitioned bool
	Drop        float64 // share of datagrams
	Duplicate   float64 // the same
	Delay       time.Duration
	Jitter      time.Duration // more delay, drawn anew for each datagram, so that datagrams are reordered
}

// Relay stands before one address for one other process: datagrams and connections that come to it go on there, as its fault
// allows. It works in one direction: replies on a connection pass without faults, and datagrams back take the other process's relay.
type Relay struct {
	to    string
	udp   *net.UDPConn
	tcp   net.Listener
	fault atomic.Pointer[Fault]

	mu          sync.Mutex
	connections map[net.Conn]bool
	rng         *rand.Rand
}

// NewRelay listens on loopback, on one port for both. Connections alone where no datagrams are wanted.
func NewRelay(to string, datagrams bool, seed uint64) (*Relay, error) {
	r := &Relay{to: to, connections: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 1))}
	r.fault.Store(&Fault{})
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if r.tcp = l; !datagrams {
			break
		}
		at := l.Addr().(*net.TCPAddr)
		if r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		if l.Close(); try == 20 {
			return nil, err
		}
	}
	go r.accept()
	if r.udp != nil {
		go r.forwardDatagrams()
	}
	return r, nil
}

// Address is where it listens.
func (r *Relay) Address() string { return r.tcp.Addr().String() }

// Set changes its fault. A partition ends all connections.
func (r *Relay) Set(f Fault) {
	r.fault.Store(&f)
	if f.Partitioned {
		r.mu.Lock()
		for c := range r.connections {
			c.Close()
		}
		r.mu.Unlock()
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.tcp.Close()
	if r.udp != nil {
		r.udp.Close()
	}
	r.Set(Fault{Partitioned: true})
}

func (r *Relay) draw() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *Relay) forwardDatagrams() {
	to, err := net.ResolveUDPAddr("udp", r.to)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // a datagram that found nobody comes back as an error
			continue
		}
		f := r.fault.Load()
		if f.Partitioned || f.Drop > 0 && r.draw() < f.Drop {
			continue
		}
		packet, times := append([]byte(nil), buffer[:n]...), 1
		if f.Duplicate > 0 && r.draw() < f.Duplicate {
			times = 2
		}
		for range times {
			wait := f.Delay + time.Duration(r.draw()*float64(f.Jitter))
			if wait == 0 {
				r.udp.WriteToUDP(packet, to)
				continue
			}
			time.AfterFunc(wait, func() {
				if !r.fault.Load().Partitioned {
					r.udp.WriteToUDP(packet, to)
				}
			})
		}
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.fault.Load().Partitioned {
			c.Close()
			continue
		}
		go r.forward(c)
	}
}

// forward carries one connection both ways. Delay applies to what is sent towards the address.
func (r *Relay) forward(c net.Conn) {
	out, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		c.Close()
		return
	}
	r.mu.Lock()
	r.connections[c], r.connections[out] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, c, true) })
	both.Go(func() { r.copy(c, out, false) })
	both.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	delete(r.connections, out)
	r.mu.Unlock()
}

func (r *Relay) copy(to, from net.Conn, delays bool) {
	defer to.Close()
	defer from.Close()
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				from.Close()
			}
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			due := time.Now()
			if delays {
				due = due.Add(r.fault.Load().Delay)
			}
			pieces <- piece{append([]byte(nil), buffer[:n]...), due}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				to.Close()
			}
			break
		}
	}
	close(pieces)
	<-done
}
