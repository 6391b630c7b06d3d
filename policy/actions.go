package policy

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. Each comment lists the fields of Action that are set.
const (
	Send                ActionKind = iota // Subquery, Backend, StopAt, StartBy
	Cancel                                // Subquery, Call
	Answer                                // Query, Complete
	Nack                                  // Query, Wait
	Abort                                 // Query
	SetTimer                              // Timer, Wait
	Probe                                 // Backend, SeparateConnection
	CloseIdle                             // Backend
	NotifyPeer                            // Peer (AllPeers for all peers), Message
	Subscribe                             // On
	RequestCompleteList                   // no fields
	Log                                   // Text
)

// AllPeers addresses a message to all other aggregators.
const AllPeers AggregatorNumber = -1

// Action is an output of Step. Its kind determines which fields are set.
type Action struct {
	Kind               ActionKind
	Complete           bool
	On                 bool
	SeparateConnection bool // the probe uses a new connection, so that it tests the backend and not an existing connection
	Query              QueryID
	Subquery           SubqueryID
	Backend            BackendID
	Call               CallNumber
	StopAt             float64 // clock time at which the call ends; 0 for the client's deadline
	StartBy            float64 // clock time after which the call must not be executed; 0 for StopAt
	Wait               float64
	Timer              TimerID
	Peer               AggregatorNumber
	Message            []byte
	Text               string
}
