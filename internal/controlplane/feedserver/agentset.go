package feedserver

import (
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// contactTimeout is the time since its last call for which an agent counts as active.
	contactTimeout = 10 * time.Second
	// minSuspectSilence is the minimum time since the last call of an agent before a report by another agent can remove it.
	minSuspectSilence = 3 * time.Second
)

// agentSet tracks the agents that have recently called this coordinator or another one. Its methods are safe for concurrent use.
type agentSet struct {
	mutex       sync.Mutex
	lastContact map[string]time.Time
	removedAt   map[string]time.Time // when an agent was removed as a suspect; an older contact must not add it again
}

func newAgentSet() *agentSet {
	return &agentSet{lastContact: make(map[string]time.Time), removedAt: make(map[string]time.Time)}
}

// recordContact records a call of an agent and reports whether the call added the agent.
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

// removeSuspect removes an agent that has not called for minSuspectSilence, and reports whether it did so.
func (a *agentSet) removeSuspect(address string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	last, active := a.lastContact[address]
	if !active || now.Sub(last) < minSuspectSilence {
		return false
	}
	delete(a.lastContact, address)
	a.removedAt[address] = now
	return true
}

// active returns the sorted addresses of the active agents, and deletes expired entries.
func (a *agentSet) active(now time.Time) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	deleteExpired(a.lastContact, now)
	deleteExpired(a.removedAt, now)
	addresses := make([]string, 0, len(a.lastContact))
	for address := range a.lastContact {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// deleteExpired deletes the entries that are older than contactTimeout.
func deleteExpired(times map[string]time.Time, now time.Time) {
	for address, at := range times {
		if now.Sub(at) > contactTimeout {
			delete(times, address)
		}
	}
}

// contacts returns the message for other coordinators.
func (a *agentSet) contacts(now time.Time) feed.AgentContacts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var contacts feed.AgentContacts
	for address, at := range a.lastContact {
		contacts.Agents = append(contacts.Agents, feed.AgentContact{Address: address, AgeMS: now.Sub(at).Milliseconds()})
	}
	return contacts
}

// merge records the contacts of another coordinator and reports whether an agent was added.
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
