package feedserver

import (
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// heardLimit is how long an agent counts as there after it last asked for news.
	heardLimit = 10 * time.Second
	// silenceBeforeDrop is how long an agent must not have asked before the suspicion of another one drops it.
	silenceBeforeDrop = 3 * time.Second
)

// front knows which agents have asked for news lately, here or at another core node.
type front struct {
	mutex   sync.Mutex
	heard   map[string]time.Time
	dropped map[string]time.Time // when suspicion dropped an agent, so that older news of it does not bring it back
}

func newFront() *front {
	return &front{heard: make(map[string]time.Time), dropped: make(map[string]time.Time)}
}

// hear records that an agent asked at a time, and tells whether it was not there before.
func (f *front) hear(address string, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if dropped, was := f.dropped[address]; was && !at.After(dropped) {
		return false
	}
	last, there := f.heard[address]
	if there && !at.After(last) {
		return false
	}
	f.heard[address] = at
	delete(f.dropped, address)
	return !there
}

// suspect drops an agent that has been silent for some time, and tells whether it did.
func (f *front) suspect(address string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last, there := f.heard[address]
	if !there || now.Sub(last) < silenceBeforeDrop {
		return false
	}
	delete(f.heard, address)
	f.dropped[address] = now
	return true
}

// agents lists those that are there, sorted, and forgets the others.
func (f *front) agents(now time.Time) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	forget(f.heard, now)
	forget(f.dropped, now)
	addresses := make([]string, 0, len(f.heard))
	for address := range f.heard {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func forget(times map[string]time.Time, now time.Time) {
	for address, at := range times {
		if now.Sub(at) > heardLimit {
			delete(times, address)
		}
	}
}

// ages is what other core nodes are told.
func (f *front) ages(now time.Time) feed.Front {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var told feed.Front
	for address, at := range f.heard {
		told.Agents = append(told.Agents, feed.Heard{Address: address, AgeMS: now.Sub(at).Milliseconds()})
	}
	return told
}

// learn takes over what another core node told, and tells whether an agent is new.
func (f *front) learn(told feed.Front, now time.Time) bool {
	isNew := false
	for _, agent := range told.Agents {
		age := time.Duration(agent.AgeMS) * time.Millisecond
		if age < 0 || age > heardLimit {
			continue
		}
		if f.hear(agent.Address, now.Add(-age)) {
			isNew = true
		}
	}
	return isNew
}
