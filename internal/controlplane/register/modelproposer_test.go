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
		if state := &model.proposers[p]; state.phase != idle {
			state.diskLost = state.diskLost.with(m)
		}
		if hostingMember(p) == m {
			t.restartProposer(model, p)
		}
	}
}

// restartProposer kills and restarts a proposer's process. The outcome of its operation remains unknown.
func (t *transitions) restartProposer(model *modelState, p int) {
	state := &model.proposers[p]
	operation := state.operation
	if state.phase != idle {
		t.closeRound(model, p)
		operation++
	}
	*state = proposerModel{operation: operation}
}

// beginOperation begins a proposer's next operation.
func (t *transitions) beginOperation(model *modelState, p int) {
	state := &model.proposers[p]
	*state = proposerModel{operation: state.operation, counter: state.counter, longestReturnedAtBegin: model.longestReturned}
	t.beginAttempt(model, p)
}

func (t *transitions) beginAttempt(model *modelState, p int) {
	state := &model.proposers[p]
	state.counter++
	state.proposalNumber, state.view = state.counter, model.members[hostingMember(p)].view
	state.proposed, state.value = 0, 0
	t.openRound(model, p, preparing)
}

func (t *transitions) openRound(model *modelState, p int, phase proposerPhase) {
	state := &model.proposers[p]
	state.phase, state.delivered, state.answered, state.conflicts, state.newerView, state.diskLost = phase, 0, 0, 0, 0, 0
	state.grants, state.grantCount = [3]internedID{}, 0
}

// closeRound ends a round. Requests that members have not received stay in flight.
func (t *transitions) closeRound(model *modelState, p int) {
	state := &model.proposers[p]
	pending := membersOfView(state.view) &^ state.delivered
	if t.budget.duplicates {
		pending = membersOfView(state.view)
	}
	if pending == 0 || state.phase == preparing && !t.budget.latePrepare {
		return
	}
	for i := range model.lateRequests {
		if model.lateRequests[i].pendingMembers == 0 {
			model.lateRequests[i] = lateRequest{uint8(p), state.phase, state.proposalNumber, state.view, state.proposed, pending}
			return
		}
	}
}

// nextAttempt ends a failed attempt, and begins another one if the budget allows it.
func (t *transitions) nextAttempt(model *modelState, p int, err error) string {
	state := &model.proposers[p]
	t.closeRound(model, p)
	var mismatch *viewError
	if errors.As(err, &mismatch) {
		t.learn(model, hostingMember(p), uint8(mismatch.view.Version))
	}
	state.attempt++
	if state.attempt == t.budget.attempts || model.members[hostingMember(p)].view == 0 {
		return t.endWithError(model, p, err)
	}
	t.beginAttempt(model, p)
	return ""
}

// deliverRequest delivers the request of an open round to a member.
func (t *transitions) deliverRequest(model *modelState, p, m int, kind stepKind) string {
	state, member := &model.proposers[p], &model.members[m]
	in := voteInput{
		stored: member.stored, view: member.view, ready: member.ready(), phase: state.phase,
		proposer: uint8(p), proposalNumber: state.proposalNumber, requestView: state.view, proposed: state.proposed,
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
	if state.delivered == 0 {
		state.diskLost = 0
	}
	state.delivered = state.delivered.with(m)
	if kind == stepCallLost {
		return ""
	}
	return t.countAnswer(model, p, m, out)
}

var errNoAnswer = errors.New("the member answered with an error")

// countAnswer counts an answer by the real round.
func (t *transitions) countAnswer(model *modelState, p, m int, out voteOutput) string {
	state := &model.proposers[p]
	view := modelViews[state.view]
	openRound := &round{view: view, granted: make([]reply, state.grantCount), conflicts: int(state.conflicts), newer: modelViews[state.newerView]}
	next := answer{reply: reply{Outcome: out.outcome, View: modelViews[out.view], Promised: ProposalNumber{Counter: uint64(out.promised)}}}
	if out.failed {
		next = answer{err: errNoAnswer}
	}
	openRound.count(next)
	state.answered = state.answered.with(m)
	state.conflicts, state.newerView = uint8(openRound.conflicts), uint8(openRound.newer.Version)
	state.counter = max(state.counter, uint8(openRound.highestPromised.Counter))
	if len(openRound.granted) > int(state.grantCount) {
		state.grants[state.grantCount] = out.accepted
		state.grantCount++
		slices.Sort(state.grants[:state.grantCount])
	}
	switch outstanding := len(view.Members) - state.answered.count(); {
	case len(openRound.granted) >= view.Quorum():
		return t.continueAfterMajority(model, p)
	case len(openRound.granted)+outstanding < view.Quorum():
		return t.nextAttempt(model, p, openRound.failure())
	}
	return ""
}

// continueAfterMajority continues an operation after a majority has granted a round.
func (t *transitions) continueAfterMajority(model *modelState, p int) string {
	state := &model.proposers[p]
	if state.phase == accepting {
		t.closeRound(model, p)
		return t.endWithValue(model, p, state.value)
	}
	decided := t.protocol.decide(decisionInput{
		grants: state.grants, grantCount: state.grantCount, proposals: state.proposals, proposalCount: state.proposalCount,
		proposer: uint8(p), operation: state.operation, proposalNumber: state.proposalNumber, view: state.view,
	})
	t.closeRound(model, p)
	switch {
	case decided.err != nil:
		return t.endWithError(model, p, decided.err)
	case decided.committed:
		return t.endWithValue(model, p, decided.value)
	case decided.proposes:
		state.proposals[state.proposalCount] = decided.proposed
		state.proposalCount++
	}
	state.proposed, state.value = decided.proposed, decided.value
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
	state := &model.proposers[p]
	operation, longestAtBegin := state.operation, t.protocol.interned[state.longestReturnedAtBegin]
	*state = proposerModel{operation: max(operation+1, firstRead), counter: state.counter}
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
	state := &model.proposers[p]
	if state.operation == 0 && certainlyNotExecuted(state, err) {
		model.notExecuted = model.notExecuted.with(p)
	}
	*state = proposerModel{operation: max(state.operation+1, firstRead), counter: state.counter}
	return t.checkTokens(model, t.protocol.interned[model.longestReturned])
}
