package replication

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// leadership is one term of this node as leader of a group. It collects proposals into batches, sends them to the followers,
// counts acknowledgements, and renews the lease.
type leadership struct {
	core         *core
	group        *group
	termNumber   uint64
	handle       *Term
	elected      bool
	ended        bool
	deadline     time.Duration // when the term ends unless a majority replies before
	followers    map[string]*follower
	history      history
	lastPosition Position // position of the newest started batch
	commitIndex  uint64   // index of the newest committed batch of the term; 0 before the first

	pendingValues     map[string][]byte // values of the next batch, by key
	pendingCallbacks  []func()          // commit callbacks of the next batch
	inFlightCallbacks []func()          // commit callbacks of the batch in progress
}

// startLeading starts a term with an adopted state. The first batch is empty, and committing it completes the election.
func (g *group) startLeading(term uint64, adopted voteReply, votes map[string]voteReply) {
	l := &leadership{
		core: g.core, group: g, termNumber: term,
		deadline:  g.core.now + g.core.timing.ReplyTimeout,
		followers: make(map[string]*follower),
	}
	l.handle = newTerm(g.core, l)
	l.history.limits = g.core.limits
	g.leadership = l
	l.updateFollowers()
	for address, reply := range votes {
		if follower := l.followers[address]; follower != nil {
			follower.position, follower.positionKnown = reply.Position, true
		}
	}
	l.startBatch(adopted.Position, nil, l.adoptionRequest(adopted))
	l.advance()
}

// adoptionRequest returns the local append request that starts the term.
func (l *leadership) adoptionRequest(adopted voteReply) appendRequest {
	request := l.appendRequestHeader()
	request.Previous = adopted.Position
	if adopted.Position == l.group.replica.position {
		return request
	}
	request.Snapshot = true
	for key, value := range adopted.State {
		request.Entries = append(request.Entries, Entry{key, value})
	}
	return request
}

// updateFollowers adds and removes followers so that they match the view.
func (l *leadership) updateFollowers() {
	for _, address := range l.core.view.Members {
		if address != l.core.self && l.followers[address] == nil {
			l.followers[address] = newFollower()
		}
	}
	for address := range l.followers {
		if !l.core.view.Has(address) {
			l.endTransfer(address, l.followers[address])
			delete(l.followers, address)
		}
	}
}

func (l *leadership) appendRequestHeader() appendRequest {
	return appendRequest{Group: l.group.name, Term: l.termNumber, Leader: l.core.self, View: l.core.view.Version}
}

// startBatch adds the next batch to the history and appends it to the local replica.
func (l *leadership) startBatch(previous Position, values map[string][]byte, local appendRequest) {
	l.lastPosition = Position{l.termNumber, l.lastPosition.Index + 1}
	l.updateHistoryLimits()
	l.history.add(newBatch(previous, l.lastPosition, values))
	local.Position = l.lastPosition
	l.group.replica.append(local, func(reply appendReply) {
		if reply.Outcome != accepted {
			l.end("the local append failed")
		}
		l.advance()
	})
}

// startPendingBatch starts a batch with the pending values, if the previous batch is committed and written locally.
func (l *leadership) startPendingBatch() {
	if !l.elected || l.commitIndex < l.lastPosition.Index || l.group.replica.position != l.lastPosition {
		return
	}
	if len(l.pendingValues) == 0 && !l.handle.Valid() {
		return // another leader may have been elected; acknowledgements of a majority will renew the lease and rule that out
	}
	values := l.pendingValues
	l.inFlightCallbacks, l.pendingCallbacks, l.pendingValues = l.pendingCallbacks, nil, nil
	if len(values) == 0 {
		l.notifyCommitted()
		return
	}
	previous := l.lastPosition
	request := l.appendRequestHeader()
	request.Previous = previous
	for key, value := range values {
		request.Entries = append(request.Entries, Entry{key, value})
	}
	l.startBatch(previous, values, request)
}

// propose adds entries to the next batch. It ignores entries with an empty key.
func (l *leadership) propose(entries []Entry, committed func()) {
	if l.checkLease(); l.ended {
		return
	}
	for _, entry := range entries {
		if entry.Key == "" {
			continue
		}
		if l.pendingValues == nil {
			l.pendingValues = make(map[string][]byte)
		}
		l.pendingValues[entry.Key] = entry.Value
	}
	if committed != nil {
		l.pendingCallbacks = append(l.pendingCallbacks, committed)
	}
	l.advance()
}

// advance performs all actions that the current state permits.
func (l *leadership) advance() {
	if l.ended {
		return
	}
	l.renewLease()
	l.advanceCommitIndex()
	l.completeElection()
	l.startPendingBatch()
	for _, address := range l.core.view.Members {
		if follower := l.followers[address]; follower != nil {
			l.replicate(address, follower)
		}
	}
	l.trimHistory()
}

// advanceCommitIndex commits the batches that a majority has synced. It ignores acknowledgements older than
// Timing.ReplyTimeout. The match indexes are all of this term, as only batches of the own term may be counted (Ongaro's
// thesis, 3.6.2).
func (l *leadership) advanceCommitIndex() {
	matchIndexes := make([]uint64, 0, len(l.followers)+1)
	if l.group.replica.position.Term == l.termNumber {
		matchIndexes = append(matchIndexes, l.group.replica.position.Index)
	}
	for _, follower := range l.followers {
		if l.core.now-follower.matchSentAt <= l.core.timing.ReplyTimeout {
			matchIndexes = append(matchIndexes, follower.matchIndex)
		}
	}
	quorum := l.core.view.Quorum()
	if len(matchIndexes) < quorum {
		return
	}
	slices.Sort(matchIndexes)
	majorityIndex := matchIndexes[len(matchIndexes)-quorum]
	if majorityIndex <= l.commitIndex {
		return
	}
	l.commitIndex = majorityIndex
	if majorityIndex == l.lastPosition.Index {
		l.notifyCommitted()
	}
}

// notifyCommitted queues the commit callbacks of the batch that was in progress.
func (l *leadership) notifyCommitted() {
	for _, committed := range l.inFlightCallbacks {
		l.handle.enqueue(committed)
	}
	l.inFlightCallbacks = nil
}

// completeElection completes the election once the adopted state is committed and on the local disk, and the lease is valid.
func (l *leadership) completeElection() {
	if l.elected || l.commitIndex == 0 || l.group.replica.position != l.lastPosition || !l.handle.Valid() {
		return
	}
	l.elected = true
	l.core.log.Info("leading", zap.String("group", l.group.name), zap.Uint64("term", l.termNumber))
	state := l.core.store.Table(stateTable(l.group.name))
	l.handle.announceElected(state)
	l.core.leaders.updateGroup(l.group.name, feed.Leader{Address: l.core.self, Term: l.termNumber})
}

// renewLease extends the lease, counted from the send time of the newest requests that a majority has acknowledged.
func (l *leadership) renewLease() {
	sendTimes := make([]time.Duration, 0, len(l.followers)+1)
	sendTimes = append(sendTimes, l.core.now)
	for _, follower := range l.followers {
		sendTimes = append(sendTimes, follower.acknowledgedAt)
	}
	quorum := l.core.view.Quorum()
	if len(sendTimes) < quorum {
		return
	}
	slices.Sort(sendTimes)
	leaseEnd := sendTimes[len(sendTimes)-quorum] + l.core.timing.LeaderLease
	l.handle.extendLease(leaseEnd)
	l.deadline = max(l.deadline, leaseEnd)
}

// trimHistory discards the batches that all followers have synced.
func (l *leadership) trimHistory() {
	lowestMatchIndex := l.commitIndex
	for _, follower := range l.followers {
		lowestMatchIndex = min(lowestMatchIndex, follower.matchIndex)
	}
	l.history.discardThrough(lowestMatchIndex)
}

// checkLease ends the term if its deadline has passed, if this node has left the view, or if the disk is stalled.
func (l *leadership) checkLease() {
	switch {
	case !l.core.view.Has(l.core.self), l.core.diskStalled():
		l.resign(false)
	case l.core.now >= l.deadline:
		l.end("no majority answers")
	}
}

// end ends the term and discards all proposals that are not committed.
func (l *leadership) end(reason string) {
	if l.ended {
		return
	}
	l.ended = true
	l.group.leadership = nil
	l.group.lastContact = l.core.now
	l.core.tickRequested = true
	l.core.log.Info("leadership ended", zap.String("group", l.group.name), zap.Uint64("term", l.termNumber),
		zap.String("reason", reason))
	l.handle.finish()
	for address, follower := range l.followers {
		l.endTransfer(address, follower)
	}
	l.pendingValues, l.pendingCallbacks, l.inFlightCallbacks, l.history = nil, nil, nil, history{}
}

// resign ends the term and notifies the other members.
func (l *leadership) resign(stopping bool) {
	if l.ended {
		return
	}
	l.end("resigned")
	l.group.recordResignation(l.termNumber)
	request := resignRequest{Group: l.group.name, Term: l.termNumber, From: l.core.self, Stopping: stopping}
	for _, address := range l.core.view.Members {
		if address == l.core.self {
			continue
		}
		l.core.call(address, resignCall.Route(), l.core.timing.HeartbeatInterval, request, new(resignReply), func(error) {})
	}
}
