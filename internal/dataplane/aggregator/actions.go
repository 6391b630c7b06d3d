package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// inFlightCall describes a call that has been sent and has not ended.
type inFlightCall struct {
	backend      policy.BackendID
	index        policy.IndexID
	customer     policy.CustomerID
	backendCalls *capture.BackendCalls // the recorder's counters of the backend; nil without a recorder
	alone        bool                  // no other call of this aggregator was in flight to the backend when it was sent
}

// callKey identifies a call.
type callKey struct {
	subquery policy.SubqueryID
	number   policy.CallNumber
}

// execute executes one of the policy's actions.
func (a *Aggregator) execute(action *policy.Action, now time.Time) {
	switch action.Kind {
	case policy.Send:
		a.send(action, now)
	case policy.Cancel:
		if call, inFlight := a.inFlight[callKey{action.Subquery, action.Call}]; inFlight {
			a.sendBatch(call.backend)
			a.backends.Cancel(call.backend, action.Subquery, action.Call)
		}
	case policy.Answer:
		a.finishQuery(action.Query, "satisfied", Reply{End: Satisfied, Complete: action.Complete}, now)
	case policy.Nack:
		a.finishQuery(action.Query, "nacked", Reply{End: Rejected, RetryAfter: action.Wait}, now)
	case policy.Abort:
		a.finishQuery(action.Query, "aborted", Reply{End: Aborted}, now)
	case policy.SetTimer:
		a.setTimer(action, now)
	case policy.Probe:
		a.sendBatch(action.Backend)
		a.counters.Add("probes", "sent", 1)
		a.backends.Probe(action.Backend, action.SeparateConnection)
	case policy.CloseIdle:
		a.sendBatch(action.Backend)
		a.backends.CloseIdle(action.Backend)
	case policy.Subscribe:
		a.discovery.Subscribe(action.On)
	case policy.RequestCompleteList:
		a.discovery.RequestCompleteList()
	case policy.NotifyPeer:
		a.counters.Add("messages", "no_way_to_mixers", 1)
	case policy.Log:
		a.logger.Info("module", zap.String("note", action.Text))
	}
}

// send adds a call to the batch for its backend. Subqueries that one step sends to the same backend share a batch, up to
// the layout's SubqueriesPerCall. A full batch is sent at once.
func (a *Aggregator) send(action *policy.Action, now time.Time) {
	ref, open := a.subqueries[action.Subquery]
	if !open {
		a.logger.Warn("send of an unknown subquery", zap.Uint64("part", uint64(action.Subquery)))
		return
	}
	query, subquery := ref.query, &ref.query.Subqueries[ref.position]
	stopAt := query.Arrived.Add(time.Duration(query.Timeout * float64(time.Second)))
	if at := a.wallTime(action.StopAt); action.StopAt > 0 && at.Before(stopAt) {
		stopAt = at
	}
	startBy := stopAt
	if at := a.wallTime(action.StartBy); action.StartBy > 0 && at.Before(startBy) {
		startBy = at
	}
	key := callKey{action.Subquery, subquery.attempts}
	subquery.attempts++
	call := inFlightCall{backend: action.Backend, index: query.Index, customer: query.Customer}
	if a.recorder != nil {
		call.backendCalls, call.alone = a.recorder.CallSent(a.policyTime(now), action.Backend)
	}
	a.inFlight[key] = call
	a.counters.Add("calls", "sent", 1)
	batch := a.batches[action.Backend]
	batch = append(batch, Call{key.subquery, key.number, query, subquery.Shard, now, stopAt, startBy})
	if len(batch) == 1 {
		a.batchOrder = append(a.batchOrder, action.Backend)
	}
	a.batches[action.Backend] = batch
	if len(batch) >= max(1, a.settings.Layout.SubqueriesPerCall) {
		a.sendBatch(action.Backend)
	}
}

// sendBatch sends the batch for a backend, if there is one.
func (a *Aggregator) sendBatch(backend policy.BackendID) {
	if batch := a.batches[backend]; len(batch) > 0 {
		delete(a.batches, backend)
		a.backends.Send(backend, batch)
	}
}
