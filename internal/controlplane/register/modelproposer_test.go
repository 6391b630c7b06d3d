package register

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// loseDisk restarts a member with an empty disk.
func (t *transitions) loseDisk(model *modelState, m int) {
	model.diskLosses++
	model.members[m] = memberModel{}
	for p := range model.proposers {
		if proposer := &model.proposers[p]; proposer.phase != idle {
			proposer.diskLost = proposer.diskLost.with(m)
		}
		if hostingMember(p) == m {
			t.restartProposer(model, p)
		}
	}
}

// restartProposer kills and restarts a proposer's process. The outcome of its operation remains unknown.
func (t *transitions) restartProposer(model *modelState, p int) {
	proposer := &model.proposers[p]
	operation := proposer.operation
	if proposer.phase != idle {
		t.closeRound(model, p)
		operation++
	}
	*proposer = proposerModel{operation: operation}
}

// beginOperation begins a proposer's next operation.
func (t *transitions) beginOperation(model *modelState, p int) {
	proposer := &model.proposers[p]
	*proposer = proposerModel{operation: proposer.operation, counter: proposer.counter, longestReturnedAtBegin: model.longestReturned}
	t.beginAttempt(model, p)
}

func (t *transitions) beginAttempt(model *modelState, p int) {
	proposer := &model.proposers[p]
	proposer.counter++
	proposer.proposalNumber, proposer.view = proposer.counter, model.members[hostingMember(p)].view
	proposer.proposed, proposer.value = 0, 0
	t.openRound(model, p, preparing)
}

func (t *transitions) openRound(model *modelState, p int, phase proposerPhase) {
	proposer := &model.proposers[p]
	proposer.phase, proposer.delivered, proposer.answered, proposer.conflicts, proposer.newerView, proposer.diskLost = phase, 0, 0, 0, 0, 0
	proposer.grants, proposer.grantCount = [3]internedID{}, 0
}

// closeRound ends a round. Requests that members have not received stay in flight.
func (t *transitions) closeRound(model *modelState, p int) {
	proposer := &model.proposers[p]
	pending := membersOfView(proposer.view) &^ proposer.delivered
	if t.budget.duplicates {
		pending = membersOfView(proposer.view)
	}
	if pending == 0 || proposer.phase == preparing && !t.budget.latePrepare {
		return
	}
	for i := range model.lateRequests {
		if model.lateRequests[i].pendingMembers == 0 {
			model.lateRequests[i] = lateRequest{uint8(p), proposer.phase, proposer.proposalNumber, proposer.view, proposer.proposed, pending}
			return
		}
	}
}

// nextAttempt ends a failed attempt, and begins another one if the budget allows it.
func (t *transitions) nextAttempt(model *modelState, p int, err error) string {
	proposer := &model.proposers[p]
	t.closeRound(model, p)
	var mismatch *viewError
	if errors.As(err, &mismatch) {
		t.learn(model, hostingMember(p), uint8(mismatch.view.Version))
	}
	proposer.attempt++
	if proposer.attempt == t.budget.attempts || model.members[hostingMember(p)].view == 0 {
		return t.endWithError(model, p, err)
	}
	t.beginAttempt(model, p)
	return ""
}

// deliverRequest delivers the request of an open round to a member.
func (t *transitions) deliverRequest(model *modelState, p, m int, kind stepKind) string {
	proposer, member := &model.proposers[p], &model.members[m]
	in := voteInput{
		stored: member.stored, view: member.view, ready: member.ready(), phase: proposer.phase,
		proposer: uint8(p), proposalNumber: proposer.proposalNumber, requestView: proposer.view, proposed: proposer.proposed,
	}
	if kind == stepCallLearns || kind == stepCallCopies {
		in.learnedView = 2
		t.learn(model, m, 2)
	}
	if kind == stepCallCopies {
		t.copyFrom(model, joiningMember, m)
	}
	out := t.protocol.vote(in)
	member.stored = out.stored
	if proposer.delivered == 0 {
		proposer.diskLost = 0
	}
	proposer.delivered = proposer.delivered.with(m)
	if kind == stepCallLost {
		return ""
	}
	return t.countAnswer(model, p, m, out)
}

var errNoAnswer = errors.New("the member answered with an error")

// countAnswer counts an answer by the real round.
func (t *transitions) countAnswer(model *modelState, p, m int, out voteOutput) string {
	proposer := &model.proposers[p]
	view := modelViews[proposer.view]
	counted := &round{view: view, granted: make([]reply, proposer.grantCount), conflicts: int(proposer.conflicts), newerView: modelViews[proposer.newerView]}
	next := callResult{reply: reply{Outcome: out.outcome, View: modelViews[out.view], Promised: ProposalNumber{Counter: uint64(out.promised)}}}
	if out.failed {
		next = callResult{err: errNoAnswer}
	}
	counted.addResult(next)
	proposer.answered = proposer.answered.with(m)
	proposer.conflicts, proposer.newerView = uint8(counted.conflicts), uint8(counted.newerView.Version)
	proposer.counter = max(proposer.counter, uint8(counted.highestPromised.Counter))
	if len(counted.granted) > int(proposer.grantCount) {
		proposer.grants[proposer.grantCount] = out.accepted
		proposer.grantCount++
		slices.Sort(proposer.grants[:proposer.grantCount])
	}
	switch outstanding := len(view.Members) - proposer.answered.count(); {
	case len(counted.granted) >= view.Quorum():
		return t.continueAfterMajority(model, p)
	case len(counted.granted)+outstanding < view.Quorum():
		return t.nextAttempt(model, p, counted.failureReason())
	}
	return ""
}

// continueAfterMajority continues an operation after a majority has granted a round.
func (t *transitions) continueAfterMajority(model *modelState, p int) string {
	proposer := &model.proposers[p]
	if proposer.phase == accepting {
		t.closeRound(model, p)
		return t.endWithValue(model, p, proposer.value)
	}
	decided := t.protocol.decide(decisionInput{
		grants: proposer.grants, grantCount: proposer.grantCount, proposals: proposer.proposals, proposalCount: proposer.proposalCount,
		proposer: uint8(p), operation: proposer.operation, proposalNumber: proposer.proposalNumber, view: proposer.view,
	})
	t.closeRound(model, p)
	switch {
	case decided.err != nil:
		return t.endWithError(model, p, decided.err)
	case decided.committed:
		return t.endWithValue(model, p, decided.value)
	case decided.proposes:
		proposer.proposals[proposer.proposalCount] = decided.proposed
		proposer.proposalCount++
	}
	proposer.proposed, proposer.value = decided.proposed, decided.value
	t.openRound(model, p, accepting)
	return ""
}

// deliverLateRequest delivers a late request to a member and discards the answer.
func (t *transitions) deliverLateRequest(model *modelState, i, m int) string {
	late, member := &model.lateRequests[i], &model.members[m]
	out := t.protocol.vote(voteInput{
		stored: member.stored, view: member.view, ready: member.ready(), phase: late.phase,
		proposer: late.proposer, proposalNumber: late.proposalNumber, requestView: late.view, proposed: late.proposed,
	})
	member.stored = out.stored
	if late.pendingMembers = late.pendingMembers.without(m); late.pendingMembers == 0 {
		*late = lateRequest{}
	}
	return ""
}

// endWithValue ends an operation with a value, and checks the value against all values returned before.
func (t *transitions) endWithValue(model *modelState, p int, value internedID) string {
	proposer := &model.proposers[p]
	operation, longestAtBegin := proposer.operation, t.protocol.interned[proposer.longestReturnedAtBegin]
	*proposer = proposerModel{operation: max(operation+1, firstRead), counter: proposer.counter}
	returned, longest := t.protocol.interned[value], t.protocol.interned[model.longestReturned]
	if len(returned) > len(longest) {
		model.longestReturned = value
	}
	switch {
	case operation < firstRead && !t.protocol.writeOnce && !strings.Contains(returned, string(tokenOf(p, int(operation)))):
		return fmt.Sprintf("the change of proposer %d returns %q", p, returned)
	case !strings.HasPrefix(returned, longest) && !strings.HasPrefix(longest, returned):
		return fmt.Sprintf("%q is returned after %q", returned, longest)
	case !strings.HasPrefix(returned, longestAtBegin):
		return fmt.Sprintf("%q is returned to an operation that began after %q was", returned, longestAtBegin)
	}
	return t.checkTokens(model, returned)
}

// checkTokens checks that a value has each token at most once, and no token of a change that was not executed.
func (t *transitions) checkTokens(model *modelState, value string) string {
	for p := range model.proposers {
		for operation := range firstRead {
			count := strings.Count(value, string(tokenOf(p, operation)))
			if count > 1 || count > 0 && operation == 0 && model.notExecuted.has(p) {
				return fmt.Sprintf("%q has change %d of proposer %d more than once or although it was not executed; proposers with a change that was not executed: %b", value, operation, p, model.notExecuted)
			}
		}
	}
	return ""
}

// endWithError ends an operation with an error.
func (t *transitions) endWithError(model *modelState, p int, err error) string {
	proposer := &model.proposers[p]
	if proposer.operation == 0 && certainlyNotExecuted(proposer, err) {
		model.notExecuted = model.notExecuted.with(p)
	}
	*proposer = proposerModel{operation: max(proposer.operation+1, firstRead), counter: proposer.counter}
	return t.checkTokens(model, t.protocol.interned[model.longestReturned])
}
