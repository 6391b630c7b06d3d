package register

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// loseDisk starts a member again with an empty disk.
func (x *transitions) loseDisk(w *modelState, m int) {
	w.diskLosses++
	w.members[m] = memberModel{}
	for p := range w.proposers {
		if state := &w.proposers[p]; state.phase != idle {
			state.diskLost = state.diskLost.with(m)
		}
		if proposerHome(p) == m {
			x.restart(w, p)
		}
	}
}

// restart kills a proposer's process; what became of its operation is not known.
func (x *transitions) restart(w *modelState, p int) {
	state := &w.proposers[p]
	operation := state.operation
	if state.phase != idle {
		x.closeRound(w, p)
		operation++
	}
	*state = proposerModel{operation: operation}
}

// begin begins a proposer's next operation.
func (x *transitions) begin(w *modelState, p int) {
	state := &w.proposers[p]
	*state = proposerModel{operation: state.operation, counter: state.counter, longestAtBegin: w.longestReturned}
	x.beginAttempt(w, p)
}

func (x *transitions) beginAttempt(w *modelState, p int) {
	state := &w.proposers[p]
	state.counter++
	state.proposalNumber, state.view = state.counter, w.members[proposerHome(p)].view
	state.proposed, state.value = 0, 0
	x.openRound(w, p, preparing)
}

func (x *transitions) openRound(w *modelState, p int, phase proposerPhase) {
	state := &w.proposers[p]
	state.phase, state.called, state.answered, state.conflicts, state.newer, state.diskLost = phase, 0, 0, 0, 0, 0
	state.grants, state.granted = [3]textID{}, 0
}

// closeRound ends a round; requests that no member has taken stay in flight.
func (x *transitions) closeRound(w *modelState, p int) {
	state := &w.proposers[p]
	pending := viewSet(state.view) &^ state.called
	if x.budget.duplicates {
		pending = viewSet(state.view)
	}
	if pending == 0 || state.phase == preparing && !x.budget.latePrepare {
		return
	}
	for i := range w.late {
		if w.late[i].to == 0 {
			w.late[i] = lateRequest{uint8(p), state.phase, state.proposalNumber, state.view, state.proposed, pending}
			return
		}
	}
}

// nextAttempt ends an attempt without success and begins the next one, if the budget allows it.
func (x *transitions) nextAttempt(w *modelState, p int, err error) string {
	state := &w.proposers[p]
	x.closeRound(w, p)
	var mismatch *viewError
	if errors.As(err, &mismatch) {
		x.learn(w, proposerHome(p), uint8(mismatch.view.Version))
	}
	state.attempt++
	if state.attempt == x.budget.attempts || w.members[proposerHome(p)].view == 0 {
		return x.fails(w, p, err)
	}
	x.beginAttempt(w, p)
	return ""
}

// call lets a member take the request of an open round.
func (x *transitions) call(w *modelState, p, m int, kind stepKind) string {
	state, member := &w.proposers[p], &w.members[m]
	in := voteInput{
		stored: member.stored, view: member.view, ready: member.ready(), phase: state.phase,
		proposer: uint8(p), proposalNumber: state.proposalNumber, requestView: state.view, proposed: state.proposed,
	}
	if kind == stepCallLearns || kind == stepCallCopies {
		in.learns = 2
		x.learn(w, m, 2)
	}
	if kind == stepCallCopies {
		x.copyFrom(w, joiningMember, m)
	}
	out := x.protocol.vote(in)
	member.stored = out.stored
	if state.called == 0 {
		state.diskLost = 0
	}
	state.called = state.called.with(m)
	if kind == stepCallLost {
		return ""
	}
	return x.answered(w, p, m, out)
}

var errNoAnswer = errors.New("the member answered with an error")

// answered lets the real round count an answer.
func (x *transitions) answered(w *modelState, p, m int, out voteOutput) string {
	state := &w.proposers[p]
	view := modelViews[state.view]
	counted := &round{view: view, granted: make([]reply, state.granted), conflicts: int(state.conflicts), newerView: modelViews[state.newer]}
	next := callResult{reply: reply{Outcome: out.outcome, View: modelViews[out.view], Promised: ProposalNumber{Counter: uint64(out.promised)}}}
	if out.failed {
		next = callResult{err: errNoAnswer}
	}
	counted.addResult(next)
	state.answered = state.answered.with(m)
	state.conflicts, state.newer = uint8(counted.conflicts), uint8(counted.newerView.Version)
	state.counter = max(state.counter, uint8(counted.highestPromised.Counter))
	if len(counted.granted) > int(state.granted) {
		state.grants[state.granted] = out.accepted
		state.granted++
		slices.Sort(state.grants[:state.granted])
	}
	switch open := len(view.Members) - state.answered.count(); {
	case len(counted.granted) >= view.Quorum():
		return x.majority(w, p)
	case len(counted.granted)+open < view.Quorum():
		return x.nextAttempt(w, p, counted.failureReason())
	}
	return ""
}

// majority continues after a round that a majority has granted.
func (x *transitions) majority(w *modelState, p int) string {
	state := &w.proposers[p]
	if state.phase == accepting {
		x.closeRound(w, p)
		return x.returns(w, p, state.value)
	}
	made := x.protocol.decide(decisionInput{
		grants: state.grants, granted: state.granted, sent: state.proposals, sents: state.proposalCount,
		proposer: uint8(p), operation: state.operation, proposalNumber: state.proposalNumber, view: state.view,
	})
	x.closeRound(w, p)
	switch {
	case made.err != nil:
		return x.fails(w, p, made.err)
	case made.committed:
		return x.returns(w, p, made.value)
	case made.proposes:
		state.proposals[state.proposalCount] = made.proposed
		state.proposalCount++
	}
	state.proposed, state.value = made.proposed, made.value
	x.openRound(w, p, accepting)
	return ""
}

// arrive lets a member take a late request; nobody waits for the answer.
func (x *transitions) arrive(w *modelState, i, m int) string {
	late, member := &w.late[i], &w.members[m]
	out := x.protocol.vote(voteInput{
		stored: member.stored, view: member.view, ready: member.ready(), phase: late.phase,
		proposer: late.proposer, proposalNumber: late.proposalNumber, requestView: late.view, proposed: late.proposed,
	})
	member.stored = out.stored
	if late.to = late.to.without(m); late.to == 0 {
		*late = lateRequest{}
	}
	return ""
}

// returns ends an operation with a value, and checks it against all that was returned before.
func (x *transitions) returns(w *modelState, p int, value textID) string {
	state := &w.proposers[p]
	operation, longestAtBegin := state.operation, x.protocol.texts[state.longestAtBegin]
	*state = proposerModel{operation: max(operation+1, firstRead), counter: state.counter}
	got, longest := x.protocol.texts[value], x.protocol.texts[w.longestReturned]
	if len(got) > len(longest) {
		w.longestReturned = value
	}
	switch {
	case operation < firstRead && !x.protocol.writeOnce && !strings.Contains(got, string(tokenOf(p, int(operation)))):
		return fmt.Sprintf("the change of proposer %d returns %q", p, got)
	case !strings.HasPrefix(got, longest) && !strings.HasPrefix(longest, got):
		return fmt.Sprintf("%q is returned after %q", got, longest)
	case !strings.HasPrefix(got, longestAtBegin):
		return fmt.Sprintf("%q is returned to an operation that began after %q was", got, longestAtBegin)
	}
	return x.checkTokens(w, got)
}

// checkTokens checks that a value has each token once at most, and none of a change that did not run.
func (x *transitions) checkTokens(w *modelState, value string) string {
	for p := range w.proposers {
		for operation := range firstRead {
			count := strings.Count(value, string(tokenOf(p, operation)))
			if count > 1 || count > 0 && operation == 0 && w.notExecuted.has(p) {
				return fmt.Sprintf("%q has change %d of proposer %d; of these changes %b did not run", value, operation, p, w.notExecuted)
			}
		}
	}
	return ""
}

// fails ends an operation without a value.
func (x *transitions) fails(w *modelState, p int, err error) string {
	state := &w.proposers[p]
	if state.operation == 0 && certainlyNotExecuted(state, err) {
		w.notExecuted = w.notExecuted.with(p)
	}
	*state = proposerModel{operation: max(state.operation+1, firstRead), counter: state.counter}
	return x.checkTokens(w, x.protocol.texts[w.longestReturned])
}
