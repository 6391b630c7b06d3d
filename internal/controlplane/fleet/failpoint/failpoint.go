// Package failpoint numbers the places where a fleet's code sends, receives, stores, applies, grants, spends or tells. In a
// binary built with the tag `failpoints`, and in no other, one of them can be armed by the environment, so that at its k-th pass
// something goes wrong there: tests play each in turn. In the plain build Pass is empty and nothing reads the environment.
package failpoint

// Point is a place in the code. Its number stays its own: tests and results name it.
type Point uint8

// The places; Names says what happens at each.
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

// Names are the table: what happens at each point.
var Names = [count]string{
	SendDatagram: "send a datagram", ReceiveDatagram: "take a datagram", SendLong: "send a long letter", ReceiveLong: "take a long letter",
	Introduce: "introduce a voter", SaveConsensus: "save the council's work", ConsensusSaved: "go on after the council's work is saved",
	ApplyCommand: "apply what the council agreed on", BeginGranting: "begin to grant", ConfirmGranter: "confirm the granter's authority",
	RequestGrants: "ask the granter", RespondToGrantRequest: "answer a mixer's asking", ReceiveGrant: "take a grant", Spend: "spend a token", Renew: "renew a lease of contracts",
	PublishRules: "publish rules of contracts", ApplyContract: "say that a contract holds here", ReportProgress: "tell an operator how far a contract got",
	ProbeMember: "ask a mixer whether it lives", SendReports: "tell what was seen of searchers", DetectOutliers: "judge searchers",
	ForwardCommand: "hand on a command", SaveTables: "save tables and incarnation",
}

// Fault is what is to go wrong at a pass of a point. Whoever passes it does what concerns it: what sends or takes drops
// or doubles, what stores fails. Stops and kills happen inside Pass, and so do delays.
type Fault struct{ Drop, Double, Fail bool }

// Times is how often whoever sends, takes or answers does so.
func (f Fault) Times() int {
	switch {
	case f.Drop || f.Fail:
		return 0
	case f.Double:
		return 2
	}
	return 1
}
