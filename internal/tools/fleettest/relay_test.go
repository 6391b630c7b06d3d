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

// Fault describes the network faults that a relay injects.
type Fault struct {
	Partitioned bool
	Drop        float64 // share of datagrams that are dropped
	Duplicate   float64 // share of datagrams that are sent twice
	Delay       time.Duration
	Jitter      time.Duration // upper bound of an additional random delay per datagram, which reorders datagrams
}

// Relay forwards datagrams and connections of one process to the address of another and injects a fault. Faults apply to one direction:
// replies on a connection are not delayed, and datagrams in the other direction use the relay of the other process. A partition
// closes connections as a whole.
type Relay struct {
	target string
	udp    *net.UDPConn
	tcp    net.Listener
	fault  atomic.Pointer[Fault]

	mu          sync.Mutex
	connections map[net.Conn]bool
	rng         *rand.Rand
}

// NewRelay starts a relay to a target address on a loopback port. If datagrams is true, it forwards datagrams on the same port number
// as connections; otherwise it forwards connections only.
func NewRelay(target string, datagrams bool, seed uint64) (*Relay, error) {
	r := &Relay{target: target, connections: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 1))}
	r.fault.Store(&Fault{})
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if r.tcp = listener; !datagrams {
			break
		}
		address := listener.Addr().(*net.TCPAddr)
		if r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port}); err == nil {
			break
		}
		if listener.Close(); attempt == 20 {
			return nil, err
		}
	}
	go r.accept()
	if r.udp != nil {
		go r.forwardDatagrams()
	}
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.tcp.Addr().String() }

// SetFault replaces the fault that the relay injects. A partition closes all connections.
func (r *Relay) SetFault(f Fault) {
	r.fault.Store(&f)
	if f.Partitioned {
		r.mu.Lock()
		for connection := range r.connections {
			connection.Close()
		}
		r.mu.Unlock()
	}
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	r.tcp.Close()
	if r.udp != nil {
		r.udp.Close()
	}
	r.SetFault(Fault{Partitioned: true})
}

// randomFloat returns a random number in [0, 1) from the seeded generator.
func (r *Relay) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// forwardDatagrams forwards datagrams to the target until the relay is closed.
func (r *Relay) forwardDatagrams() {
	to, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		length, _, err := r.udp.ReadFromUDP(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // an earlier datagram was rejected by a closed port
			continue
		}
		fault := r.fault.Load()
		if fault.Partitioned || fault.Drop > 0 && r.randomFloat() < fault.Drop {
			continue
		}
		packet, copies := append([]byte(nil), buffer[:length]...), 1
		if fault.Duplicate > 0 && r.randomFloat() < fault.Duplicate {
			copies = 2
		}
		for range copies {
			delay := fault.Delay + time.Duration(r.randomFloat()*float64(fault.Jitter))
			if delay == 0 {
				r.udp.WriteToUDP(packet, to)
				continue
			}
			time.AfterFunc(delay, func() {
				if !r.fault.Load().Partitioned {
					r.udp.WriteToUDP(packet, to)
				}
			})
		}
	}
}

// accept accepts connections until the relay is closed. During a partition it closes them at once.
func (r *Relay) accept() {
	for {
		inbound, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.fault.Load().Partitioned {
			inbound.Close()
			continue
		}
		go r.forward(inbound)
	}
}

// forward forwards one connection in both directions. The delay applies only towards the target.
func (r *Relay) forward(inbound net.Conn) {
	outbound, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		inbound.Close()
		return
	}
	r.mu.Lock()
	r.connections[inbound], r.connections[outbound] = true, true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyWithDelay(outbound, inbound, true) })
	directions.Go(func() { r.copyWithDelay(inbound, outbound, false) })
	directions.Wait()
	r.mu.Lock()
	delete(r.connections, inbound)
	delete(r.connections, outbound)
	r.mu.Unlock()
}

// copyWithDelay copies data from one connection to another until the connection ends, and then closes both. If delayed is true, each
// write is delayed by the delay of the current fault.
func (r *Relay) copyWithDelay(to, from net.Conn, delayed bool) {
	defer to.Close()
	defer from.Close()
	type delayedWrite struct {
		data []byte
		due  time.Time
	}
	writes := make(chan delayedWrite, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for write := range writes {
			time.Sleep(time.Until(write.due))
			if _, err := to.Write(write.data); err != nil {
				from.Close()
			}
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		length, err := from.Read(buffer)
		if length > 0 {
			due := time.Now()
			if delayed {
				due = due.Add(r.fault.Load().Delay)
			}
			writes <- delayedWrite{append([]byte(nil), buffer[:length]...), due}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				to.Close()
			}
			break
		}
	}
	close(writes)
	<-done
}
