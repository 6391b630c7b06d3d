// Package failpoint lets tests inject faults into the code of the fleet. It numbers the places where that code sends, receives,
// saves, applies, grants, spends or reports. In a binary built with the tag failpoints, an environment variable arms one of these
// points, so that a fault happens at the k-th call of Pass for it. Tests inject each fault at each point. In a build without the
// tag, Pass does nothing and the environment is not read.
package failpoint

// Point is a place in the code. Its number must not change, because tests and recorded results use it.
type Point uint8

// The points. Names describes what the code does at each.
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
	pointCount
)

// Names describes what the code does at each point.
var Names = [pointCount]string{
	SendDatagram: "send a datagram", ReceiveDatagram: "receive a datagram", SendLong: "send a long message", ReceiveLong: "receive a long message",
	Introduce: "introduce a voter", SaveConsensus: "save the consensus state", ConsensusSaved: "go on after the consensus state is saved",
	ApplyCommand: "apply committed commands", BeginGranting: "begin to grant", ConfirmGranter: "confirm the granter's authority",
	RequestGrants: "request grants", RespondToGrantRequest: "answer a grant request", ReceiveGrant: "receive a grant", Spend: "spend a token", Renew: "renew a lease of contracts",
	PublishRules: "publish rules of contracts", ApplyContract: "report that a contract is applied here", ReportProgress: "report a contract's progress to an operator",
	ProbeMember: "probe a member", SendReports: "send outlier reports", DetectOutliers: "detect outliers",
	ForwardCommand: "forward a command", SaveTables: "save tables and incarnation",
}

// Fault is the fault to simulate at a point. Code that sends or receives handles Drop and Duplicate, and code that saves handles
// Fail. Pass itself pauses, kills or delays the process.
type Fault struct{ Drop, Duplicate, Fail bool }

// Copies returns how often a message or response is to be sent or received under the fault.
func (f Fault) Copies() int {
	switch {
	case f.Drop || f.Fail:
		return 0
	case f.Duplicate:
		return 2
	}
	return 1
}
