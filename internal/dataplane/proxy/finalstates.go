package proxy

import (
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	maxFinalStateAge = 2 * time.Minute // nominal; an entry may be returned until it is 1.5 times as old
	maxFinalStates   = 8192            // number of jobs
)

// jobKey names a job by its queue and its ID.
type jobKey struct {
	queue queuekey.Key
	id    job.ID
}

// finalStates caches the final states of jobs. It has two generations: the older one is dropped when the newer one is
// full or has reached half the maximum age. This bounds both the memory and the age of entries.
type finalStates struct {
	mutex            sync.Mutex
	now              func() time.Time
	newerSince       time.Time // creation of the newer generation
	newer            map[jobKey]job.State
	older            map[jobKey]job.State
	maxPerGeneration int // number of jobs in a generation
}

func newFinalStates(now func() time.Time) *finalStates {
	return &finalStates{now: now, newerSince: now(), newer: make(map[jobKey]job.State), maxPerGeneration: maxFinalStates / 2}
}

// add caches a job's state if it is final.
func (f *finalStates) add(queue queuekey.Key, id job.ID, state job.State) {
	if !state.Final() {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if len(f.newer) >= f.maxPerGeneration {
		f.rotate()
	}
	f.newer[jobKey{queue, id}] = state
}

// get returns the final state of a job, if it is cached.
func (f *finalStates) get(queue queuekey.Key, id job.ID) (job.State, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if state, found := f.newer[jobKey{queue, id}]; found {
		return state, true
	}
	state, found := f.older[jobKey{queue, id}]
	return state, found
}

// expire drops generations that have reached their maximum age. The mutex must be held.
func (f *finalStates) expire() {
	age := f.now().Sub(f.newerSince)
	if age >= maxFinalStateAge/2 {
		f.rotate()
	}
	if age >= maxFinalStateAge {
		f.older = nil
	}
}

// rotate drops the older generation and begins a new one. The mutex must be held.
func (f *finalStates) rotate() {
	f.older, f.newer = f.newer, make(map[jobKey]job.State)
	f.newerSince = f.now()
}
