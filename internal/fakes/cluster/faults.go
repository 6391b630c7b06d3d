package cluster

import "time"

// CallKind is a kind of call to a worker. Its value is the call's path.
type CallKind string

// The kinds of calls to a worker.
const (
	StartCall CallKind = "/-/run-start"
	StopCall  CallKind = "/-/run-stop"
	LeaseCall CallKind = "/-/hold"
)

// FaultKind is the way in which a call fails.
type FaultKind uint8

const (
	// NoFault executes and answers the call.
	NoFault FaultKind = iota
	// Reject answers with Status and does not execute the call.
	Reject
	// DropCall neither executes nor answers the call.
	DropCall
	// DelayExecution executes the call after Delay and never answers it.
	DelayExecution
	// DropAnswer executes the call at once and never answers it.
	DropAnswer
	// DelayAnswer executes the call at once, and sends the answer from that time after Delay.
	DelayAnswer
	// ResetConnection closes the connection and does not execute the call.
	ResetConnection
)

// Fault is the fault of one call. The zero value is no fault.
type Fault struct {
	Kind   FaultKind
	Status int           // of Reject
	Delay  time.Duration // of DelayExecution and DelayAnswer
	// LeaseFromExecution makes the lease of a DelayExecution call begin when the call is executed, not when it arrives.
	LeaseFromExecution bool
}

// OnEveryCall returns a function for SetFaults that returns the same fault for every call.
func OnEveryCall(fault Fault) func(CallKind) Fault { return func(CallKind) Fault { return fault } }

// OnCallsOfKind returns a function for SetFaults that returns the fault for one kind of call, and no fault for the others.
func OnCallsOfKind(kind CallKind, fault Fault) func(CallKind) Fault {
	return func(call CallKind) Fault {
		if call == kind {
			return fault
		}
		return Fault{}
	}
}

// SetFaults sets the function that decides on the fault of each call. With nil, no call has a fault. The function is called
// with the cluster's lock held.
func (s *Worker) SetFaults(decide func(CallKind) Fault) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.faultOf = decide
}
