// Package failpoint numbers the places where the fleet's code sends, receives, saves, applies, grants, spends or reports. In
// a binary built with the tag failpoints, and in no other, one of them can be armed by the environment, so that a fault
// happens at its k-th pass: tests inject each fault at each place. In the plain build Pass does nothing and nothing reads the
// environment.
package failpoint

// Point is a place in the code. Its number is fixed, as tests and recorded results have it.
type Point uint8

// The points; Names says what happens at each.
const (
	SendDatagram Point = 1 + iota
	ReceiveDatagram
	SendLong
	ReceiveLong
	Introduce
	SaveConsensus
	ConsensusSaved
	ApplyCommand
	BeginGranting
	ConfirmGranter
	RequestGrants
	RespondToGrantRequest
	ReceiveGrant
	Spend
	Renew
	PublishRules
	ApplyContract
	ReportProgress
	ProbeMember
	SendReports
	DetectOutliers
	ForwardCommand
	SaveTables
	count
)

// Names says what the code does at each point.
var Names = [count]string{
	SendDatagram: "send a datagram", ReceiveDatagram: "receive a datagram", SendLong: "send a long message", ReceiveLong: "receive a long message",
	Introduce: "introduce a voter", SaveConsensus: "save the consensus state", ConsensusSaved: "go on after the consensus state is saved",
	ApplyCommand: "apply committed commands", BeginGranting: "begin to grant", ConfirmGranter: "confirm the granter's authority",
	RequestGrants: "request grants", RespondToGrantRequest: "answer a grant request", ReceiveGrant: "receive a grant", Spend: "spend a token", Renew: "renew a lease of contracts",
	PublishRules: "publish rules of contracts", ApplyContract: "report that a contract is applied here", ReportProgress: "report a contract's progress to an operator",
	ProbeMember: "probe a member", SendReports: "send outlier reports", DetectOutliers: "detect outliers",
	ForwardCommand: "forward a command", SaveTables: "save tables and incarnation",
}

// Fault is what is to go wrong at a pass of a point. The code there does what concerns it: what sends or receives drops or
// duplicates, what saves fails. Pauses, kills and delays happen inside Pass.
type Fault struct{ Drop, Double, Fail bool }

// Times is how often whoever sends, receives or answers does so.
func (f Fault) Times() int {
	switch {
	case f.Drop || f.Fail:
		return 0
	case f.Double:
		return 2
	}
	return 1
}
