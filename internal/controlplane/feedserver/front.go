package feedserver

import (
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// contactTimeout is how long an agent counts as there after it last asked for news.
	contactTimeout = 10 * time.Second
	// minSilenceOfSuspect is how long an agent must not have asked before the suspicion of another one drops it.
	minSilenceOfSuspect = 3 * time.Second
)

// front knows which agents have asked for news lately, here or at another core node.
type agentSet struct {
	mutex       sync.Mutex
	lastContact map[string]time.Time
	droppedAt   map[string]time.Time // when suspicion dropped an agent, so that older news of it does not bring it back
}

func newAgentSet() *agentSet {
	return &agentSet{lastContact: make(map[string]time.Time), droppedAt: make(map[string]time.Time)}
}

// recordContact records that an agent asked at a time, and tells whether it was not there before.
func (f *agentSet) recordContact(address string, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if dropped, was := f.droppedAt[address]; was && !at.After(dropped) {
		return false
	}
	last, there := f.lastContact[address]
	if there && !at.After(last) {
		return false
	}
	f.lastContact[address] = at
	delete(f.droppedAt, address)
	return !there
}

// reportSuspect drops an agent that has been silent for some time, and tells whether it did.
func (f *agentSet) reportSuspect(address string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last, there := f.lastContact[address]
	if !there || now.Sub(last) < minSilenceOfSuspect {
		return false
	}
	delete(f.lastContact, address)
	f.droppedAt[address] = now
	return true
}

// active lists those that are there, sorted, and forgets the others.
func (f *agentSet) active(now time.Time) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	forget(f.lastContact, now)
	forget(f.droppedAt, now)
	addresses := make([]string, 0, len(f.lastContact))
	for address := range f.lastContact {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func forget(times map[string]time.Time, now time.Time) {
	for address, at := range times {
		if now.Sub(at) > contactTimeout {
			delete(times, address)
		}
	}
}

// contacts is what other core nodes are told.
func (f *agentSet) contacts(now time.Time) feed.AgentContacts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var contacts feed.AgentContacts
	for address, at := range f.lastContact {
		contacts.Agents = append(contacts.Agents, feed.AgentContact{Address: address, AgeMS: now.Sub(at).Milliseconds()})
	}
	return contacts
}

// learn takes over what another core node told, and tells whether an agent is new.
func (f *agentSet) merge(contacts feed.AgentContacts, now time.Time) bool {
	isNew := false
	for _, agent := range contacts.Agents {
		age := time.Duration(agent.AgeMS) * time.Millisecond
		if age < 0 || age > contactTimeout {
			continue
		}
		if f.recordContact(agent.Address, now.Add(-age)) {
			isNew = true
		}
	}
	return isNew
}
