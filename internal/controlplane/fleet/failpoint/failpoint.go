// Package failpoint numbers the places where a fleet's code sends, receives, stores, applies, grants, spends or tells. In a
// binary built with the tag `failpoints`, and in no other, one of them can be armed by the environment, so that at its k-th pass
// something goes wrong there: tests play each in turn. In the plain build Pass is empty and nothing reads the environment.
package failpoint

// Point is a place in the code. Its number stays its own: tests and results name it.
type Point uint8

// The places; Names says what happens at each.
const (
	SendDatagram Point = 1 + iota
	TakeDatagram
	SendLong
	TakeLong
	Introduce
	SaveCouncil
	SavedCouncil
	ApplyCommand
	BeginGranting
	ConfirmGranter
	AskGranter
	AnswerAsk
	TakeGrant
	Spend
	Renew
	PublishRules
	HoldContract
	TellHeld
	ProbeMember
	TellReport
	JudgeBackends
	ForwardCommand
	SaveTables
	count
)

// Names are the table: what happens at each point.
var Names = [count]string{
	SendDatagram: "send a datagram", TakeDatagram: "take a datagram", SendLong: "send a long letter", TakeLong: "take a long letter",
	Introduce: "introduce a voter", SaveCouncil: "save the council's work", SavedCouncil: "go on after the council's work is saved",
	ApplyCommand: "apply what the council agreed on", BeginGranting: "begin to grant", ConfirmGranter: "confirm the granter's authority",
	AskGranter: "ask the granter", AnswerAsk: "answer a mixer's asking", TakeGrant: "take a grant", Spend: "spend a token", Renew: "renew a lease of contracts",
	PublishRules: "publish rules of contracts", HoldContract: "say that a contract holds here", TellHeld: "tell an operator how far a contract got",
	ProbeMember: "ask a mixer whether it lives", TellReport: "tell what was seen of searchers", JudgeBackends: "judge searchers",
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
