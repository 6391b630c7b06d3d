package feedserver

import (
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// contactTimeout is how long an agent counts as active after its last call.
	contactTimeout = 10 * time.Second
	// minSilenceOfSuspect is how long an agent must not have called before the suspicion of another one removes it.
	minSilenceOfSuspect = 3 * time.Second
)

// agentSet tracks which agents have called lately, this core node or another one.
type agentSet struct {
	mutex       sync.Mutex
	lastContact map[string]time.Time
	removedAt   map[string]time.Time // when a suspicion removed an agent, so that an older contact does not add it again
}

func newAgentSet() *agentSet {
	return &agentSet{lastContact: make(map[string]time.Time), removedAt: make(map[string]time.Time)}
}

// recordContact records that an agent called at a time, and tells whether it was added.
func (a *agentSet) recordContact(address string, at time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if removed, found := a.removedAt[address]; found && !at.After(removed) {
		return false
	}
	last, active := a.lastContact[address]
	if active && !at.After(last) {
		return false
	}
	a.lastContact[address] = at
	delete(a.removedAt, address)
	return !active
}

// reportSuspect removes an agent that has not called for some time, and tells whether it did.
func (a *agentSet) reportSuspect(address string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	last, active := a.lastContact[address]
	if !active || now.Sub(last) < minSilenceOfSuspect {
		return false
	}
	delete(a.lastContact, address)
	a.removedAt[address] = now
	return true
}

// active lists the active agents, sorted, and forgets the others.
func (a *agentSet) active(now time.Time) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	forgetExpired(a.lastContact, now)
	forgetExpired(a.removedAt, now)
	addresses := make([]string, 0, len(a.lastContact))
	for address := range a.lastContact {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func forgetExpired(times map[string]time.Time, now time.Time) {
	for address, at := range times {
		if now.Sub(at) > contactTimeout {
			delete(times, address)
		}
	}
}

// contacts is what is sent to other core nodes.
func (a *agentSet) contacts(now time.Time) feed.AgentContacts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var contacts feed.AgentContacts
	for address, at := range a.lastContact {
		contacts.Agents = append(contacts.Agents, feed.AgentContact{Address: address, AgeMS: now.Sub(at).Milliseconds()})
	}
	return contacts
}

// merge records the contacts of another core node, and tells whether an agent was added.
func (a *agentSet) merge(contacts feed.AgentContacts, now time.Time) bool {
	added := false
	for _, agent := range contacts.Agents {
		age := time.Duration(agent.AgeMS) * time.Millisecond
		if age < 0 || age > contactTimeout {
			continue
		}
		if a.recordContact(agent.Address, now.Add(-age)) {
			added = true
		}
	}
	return added
}
