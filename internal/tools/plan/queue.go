package plan

import (
	"puffinlink.example/puffinlink/policy"
)

// deliver starts a call that arrives at a backend, queues it if all cores are busy, or rejects it if the queue is full.
func (sim *emulation) deliver(backend *emulatedBackend, received *call) {
	backend.calls++
	switch {
	case backend.busyCores < backend.Cores:
		sim.serve(backend, received)
	case backend.Queue > 0 && len(backend.waiting) >= backend.Queue:
		backend.rejected++
		sim.schedule(sim.now+sim.site.NetworkDelay, func() { sim.completeCall(received, backend, policy.Rejected) })
	default:
		backend.waiting = append(backend.waiting, received)
		backend.maxQueued = max(backend.maxQueued, len(backend.waiting))
	}
}

// serve occupies a core for the call's processing time. When the call ends, it starts the next waiting call that the
// aggregator has not timed out or canceled.
func (sim *emulation) serve(backend *emulatedBackend, served *call) {
	backend.busyCores++
	serviceTime := sim.random.drawWork(&sim.site.Indexes[served.index]) / backend.Speed
	if sim.now >= sim.warmUpEnd {
		backend.busyTime += min(serviceTime, max(0, sim.end-sim.now))
	}
	sim.schedule(sim.now+serviceTime, func() {
		backend.busyCores--
		sim.schedule(sim.now+sim.site.NetworkDelay, func() { sim.completeCall(served, backend, policy.Answered) })
		for len(backend.waiting) > 0 && backend.busyCores < backend.Cores {
			next := backend.waiting[0]
			backend.waiting = backend.waiting[1:]
			if !next.completed {
				sim.serve(backend, next)
			}
		}
	})
}

// completeCall notifies the aggregator of the end of a call, only once for each call. backend is nil for a canceled call.
func (sim *emulation) completeCall(ended *call, backend *emulatedBackend, outcome policy.Outcome) {
	key := callKey{ended.subquery, ended.number}
	if ended.completed || ended.aggregator.inFlight[key] != ended {
		return
	}
	ended.completed = true
	delete(ended.aggregator.inFlight, key)
	id := policy.BackendID(0)
	if backend != nil {
		id = backend.id
	}
	sim.notify(ended.aggregator, policy.Event{Kind: policy.CallEnded, Subquery: ended.subquery, Call: ended.number, Backend: id, Outcome: outcome, Elapsed: sim.now - ended.sentAt})
}
