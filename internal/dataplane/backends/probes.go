package backends

import (
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// pendingProbe is the probe in flight; the policy has one per backend at a time.
type pendingProbe struct {
	sentAt     time.Time
	separate   bool // on a connection with nothing else out
	connection *connection
	written    bool
}

func (a *actor) probe(at time.Time, separate bool) {
	if a.pendingProbe != nil {
		return
	}
	a.pendingProbe = &pendingProbe{sentAt: at, separate: separate}
	a.assign()
}

// sendProbe sends the pending probe on a connection.
func (a *actor) sendProbe(conn *connection) {
	a.pendingProbe.connection = conn
	conn.expectAnswer(time.Now())
	conn.out.Put(outgoing{frameType: a.probeFrame()})
}

// probeFrame is the type of a probe's frame.
func (a *actor) probeFrame() byte {
	if a.hub.settings.LoadReports {
		return frameLoadProbe
	}
	return frameHealthProbe
}

// handleProbeAnswer handles the answer of a probe. One that comes after its time-out may be taken for the next one's; it still
// shows that the backend is alive.
func (a *actor) handleProbeAnswer(msg *message) {
	if p := a.pendingProbe; p == nil || p.connection != msg.connection {
		a.hub.counters.Add("late", "probes", 1)
		return
	} else if p.separate { // the backend is alive, and connections with frames unanswered from before the probe are not
		for _, conn := range a.connections {
			if !conn.unansweredSince.IsZero() && conn.unansweredSince.Before(p.sentAt) {
				a.markUnresponsive(conn, msg.at)
			}
		}
	}
	if msg.text == probeFailed {
		a.endProbe(policy.Errored, msg.at, policy.Load{})
	} else {
		a.endProbe(policy.Answered, msg.at, parseLoad([]byte(msg.text)))
	}
}

// endProbe reports the end of the pending probe.
func (a *actor) endProbe(outcome policy.Outcome, at time.Time, load policy.Load) {
	elapsed := max(0, at.Sub(a.pendingProbe.sentAt).Seconds())
	a.pendingProbe = nil
	a.hub.counters.Add("probes", outcomeNames[outcome], 1)
	a.hub.events.Put(aggregator.Event{Event: policy.Event{Kind: policy.ProbeEnded, Backend: a.id, Outcome: outcome,
		Elapsed: elapsed, Load: load}})
}
