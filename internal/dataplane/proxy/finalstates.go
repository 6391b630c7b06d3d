package proxy

import (
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	finalStateAge   = 2 * time.Minute
	finalStateCount = 8192 // at most
)

// finalStates remembers jobs that have ended. It has two generations: the older one is dropped when the newer one is
// full or has half the greatest age, so that memory and age are bounded.
type finalStates struct {
	mutex   sync.Mutex
	now     func() time.Time
	begun   time.Time // of the newer generation
	newer   map[job.ID]job.State
	older   map[job.ID]job.State
	maximum int // of one generation
}

func newFinalStates(now func() time.Time) *finalStates {
	return &finalStates{now: now, begun: now(), newer: make(map[job.ID]job.State), maximum: finalStateCount / 2}
}

// add remembers a state if it is final.
func (f *finalStates) add(id job.ID, state job.State) {
	if !state.Final() {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if len(f.newer) >= f.maximum {
		f.rotate()
	}
	f.newer[id] = state
}

// get returns the final state of a job, if it is remembered.
func (f *finalStates) get(id job.ID) (job.State, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.expire()
	if state, found := f.newer[id]; found {
		return state, true
	}
	state, found := f.older[id]
	return state, found
}

// expire drops what is too old.
func (f *finalStates) expire() {
	age := f.now().Sub(f.begun)
	if age >= finalStateAge/2 {
		f.rotate()
	}
	if age >= finalStateAge {
		f.older = nil
	}
}

func (f *finalStates) rotate() {
	f.older, f.newer = f.newer, make(map[job.ID]job.State)
	f.begun = f.now()
}
