package backends

import (
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// pendingProbe is a probe in flight. The policy sends one probe per backend at a time.
type pendingProbe struct {
	sentAt     time.Time
	separate   bool        // needs a connection with nothing else in flight
	connection *connection // nil while the probe waits for a connection
	written    bool        // its frame was written completely
}

// probe starts a probe, unless one is in flight.
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

// probeFrame returns the frame type of probes.
func (a *actor) probeFrame() byte {
	if a.hub.settings.LoadReports {
		return frameLoadProbe
	}
	return frameHealthProbe
}

// handleProbeAnswer handles the answer to a probe. An answer that arrives after its probe's timeout may be taken for the answer
// to the next probe. That is harmless, because it still shows that the backend is alive.
func (a *actor) handleProbeAnswer(msg *message) {
	if p := a.pendingProbe; p == nil || p.connection != msg.connection {
		a.hub.counters.Add("late", "probes", 1)
		return
	} else if p.separate { // the backend is alive, so connections with frames unanswered since before the probe are unresponsive
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
