package cluster

import "time"

// Call is a kind of call to a worker, named by its path.
type Call string

// The calls to a worker.
const (
	StartCall Call = "/-/run-start"
	StopCall  Call = "/-/run-stop"
	LeaseCall Call = "/-/hold"
)

// FaultKind says in which way a call goes wrong.
type FaultKind uint8

const (
	// None lets the call pass.
	None FaultKind = iota
	// Refuse answers Status and does nothing.
	Refuse
	// Silent does nothing and never answers.
	Silent
	// Late never answers, and carries the call out after Delay.
	Late
	// Mute carries the call out at once and never answers.
	Mute
	// Slow carries the call out at once and answers Delay later what there was to answer then.
	Slow
	// Reset does nothing and ends the connection.
	Reset
)

// Fault is what happens to one call.
type Fault struct {
	Kind   FaultKind
	Status int           // of Refuse
	Delay  time.Duration // of Late and of Slow
	// FromArrival lets a Late call's hold count from the moment at which the call is carried out.
	FromArrival bool
}

// Always has the same fault on every call.
func Always(fault Fault) func(Call) Fault { return func(Call) Fault { return fault } }

// Only has a fault on one kind of call.
func Only(kind Call, fault Fault) func(Call) Fault {
	return func(call Call) Fault {
		if call == kind {
			return fault
		}
		return Fault{}
	}
}

// SetFaults decides from now on about every call; nil lets all pass. The function is called under the cluster's lock.
func (s *Worker) SetFaults(decide func(Call) Fault) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.faults = decide
}
