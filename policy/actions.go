package policy

// ActionKind names what to do.
type ActionKind uint8

// The kinds of actions, each with the fields that count for it.
const (
	Send            ActionKind = iota // Subquery, Backend, StopAt, BeginBy
	Cancel                            // Subquery, Call
	Answer                            // Query, Complete
	Nack                              // Query, Wait
	Abort                             // Query
	SetTimer                          // Timer, Wait
	Probe                             // Backend, SeparateConnection
	CloseIdle                         // Backend
	NotifyPeer                        // Peer (AllPeers for every one), Message
	Subscribe                         // On
	RequestFullList                   // no fields
	Log                               // Text
)

// AllPeers addresses a message to every other aggregator.
const AllPeers AggregatorNo = -1

// Action is one thing to do; its kind says which fields count.
type Action struct {
	Kind               ActionKind
	Complete           bool
	On                 bool
	SeparateConnection bool // of a probe: it tests the backend, not an existing connection
	Query              QueryID
	Subquery           SubqueryID
	Backend            BackendID
	Call               CallNo
	StopAt             float64 // clock time; 0 for the client's deadline
	BeginBy            float64 // clock time after which it must not be executed; 0 for StopAt
	Wait               float64
	Timer              TimerID
	Peer               AggregatorNo
	Message            []byte
	Text               string
}
