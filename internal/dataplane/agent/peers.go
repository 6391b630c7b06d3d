package agent

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"puffinlink.example/puffinlink/internal/random"
)

const (
	// monitoredPeers is the number of peers that an agent calls more often than the others.
	monitoredPeers = 3
	// failuresToSuspect is the number of consecutive failures that make a peer a suspect.
	failuresToSuspect = 3
	// monitoredShare is the fraction of exchanges that are reserved for monitored peers.
	monitoredShare = 0.5
)

// peerSelector chooses the peer for each exchange and counts the consecutive failures of each peer. Its methods are safe for
// concurrent use.
type peerSelector struct {
	self string

	mutex     sync.Mutex
	random    random.PCG
	others    []string // all agents except this one
	monitored []string // the first few of others by rendezvous hashing
	failures  map[string]int
}

func newPeerSelector(self string) *peerSelector {
	return &peerSelector{self: self, random: random.PCG(xxh3.HashString(self)), failures: make(map[string]int)}
}

// setAgents sets the list of agents. It deletes the failure counts of agents that are not in the list.
func (p *peerSelector) setAgents(agents []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	others := slices.DeleteFunc(slices.Clone(agents), func(address string) bool { return address == p.self })
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

// choose returns the peer for the next exchange. A peer that has failed recently but is not a suspect yet comes first, to determine
// quickly whether it is down. Otherwise choose returns a random monitored peer or a random peer. It returns "" if there are no
// peers.
func (p *peerSelector) choose() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, address := range p.others {
		if count := p.failures[address]; count > 0 && count < failuresToSuspect {
			return address
		}
	}
	if p.random.Unit() < monitoredShare {
		return p.randomOf(p.monitored)
	}
	return p.randomOf(p.others)
}

// hasUnconfirmedFailures reports whether a peer has failed recently but not often enough to be a suspect.
func (p *peerSelector) hasUnconfirmedFailures() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, count := range p.failures {
		if count < failuresToSuspect {
			return true
		}
	}
	return false
}

// randomOf returns a random one of addresses, or "" if there are none. The caller must hold the mutex.
func (p *peerSelector) randomOf(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[int(p.random.Unit()*float64(len(addresses)))]
}

// recordResult records whether an exchange with a peer succeeded. A success resets the failure count.
func (p *peerSelector) recordResult(address string, succeeded bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if succeeded {
		delete(p.failures, address)
	} else {
		p.failures[address]++
	}
}

// suspects returns the sorted addresses of the peers that have failed at least failuresToSuspect times in a row.
func (p *peerSelector) suspects() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var suspects []string
	for address, count := range p.failures {
		if count >= failuresToSuspect {
			suspects = append(suspects, address)
		}
	}
	slices.Sort(suspects)
	return suspects
}
