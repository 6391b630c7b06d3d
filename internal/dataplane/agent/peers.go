package agent

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"puffinlink.example/puffinlink/internal/random"
)

const (
	// monitoredPeers is how many peers an agent asks more often than the others.
	monitoredPeers = 3
	// failuresToSuspect is how many failures in a row make a peer suspect.
	failuresToSuspect = 3
	// monitorShare is the share of calls that go to monitored peers.
	monitorShare = 0.5
)

// peers chooses which agent to exchange with, and counts how often each has failed in a row.
type peers struct {
	self string

	mutex     sync.Mutex
	random    random.PCG
	others    []string // all agents but this one
	monitored []string // the first few of others by rendezvous hashing
	failures  map[string]int
}

func newPeers(self string) *peers {
	return &peers{self: self, random: random.PCG(xxh3.HashString(self)), failures: make(map[string]int)}
}

// setFront tells which agents there are.
func (p *peers) setFront(front []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	others := slices.DeleteFunc(slices.Clone(front), func(address string) bool { return address == p.self })
	if slices.Equal(others, p.others) {
		return
	}
	p.others = others
	ranked := rank(p.self, others)
	p.monitored = ranked[:min(monitoredPeers, len(ranked))]
	for address := range p.failures {
		if !slices.Contains(others, address) {
			delete(p.failures, address)
		}
	}
}

// choose returns the peer for the next exchange: one that has just failed, so that it is soon known whether it is gone;
// else a monitored peer or any peer by chance. It returns "" if there is none.
func (p *peers) choose() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, address := range p.others {
		if failed := p.failures[address]; failed > 0 && failed < failuresToSuspect {
			return address
		}
	}
	if p.random.Unit() < monitorShare {
		return p.pick(p.monitored)
	}
	return p.pick(p.others)
}

// suspicious tells whether a peer has just failed and it is open whether it is gone.
func (p *peers) suspicious() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, failed := range p.failures {
		if failed < failuresToSuspect {
			return true
		}
	}
	return false
}

func (p *peers) pick(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[int(p.random.Unit()*float64(len(addresses)))]
}

// record records how an exchange ended.
func (p *peers) record(address string, answered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answered {
		delete(p.failures, address)
	} else {
		p.failures[address]++
	}
}

// suspects lists the peers that have failed several times in a row, sorted.
func (p *peers) suspects() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var suspects []string
	for address, failed := range p.failures {
		if failed >= failuresToSuspect {
			suspects = append(suspects, address)
		}
	}
	slices.Sort(suspects)
	return suspects
}
