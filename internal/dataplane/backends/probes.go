package backends

import (
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// pendingProbe is the probe that is out; the module has one at a time.
type pendingProbe struct {
	since      time.Time
	apart      bool // on a connection with nothing else out
	connection *connection
	written    bool
}

func (a *actor) probe(at time.Time, apart bool) {
	if a.pendingProbe != nil {
		return
	}
	a.pendingProbe = &pendingProbe{since: at, apart: apart}
	a.assign()
}

func (a *actor) ask(conn *connection) {
	a.pendingProbe.connection = conn
	conn.ask(time.Now())
	conn.out.Put(outgoing{frameType: a.probeFrame()})
}

// probeFrame is the type of frame that probes use.
func (a *actor) probeFrame() byte {
	if a.hub.set.Loads {
		return frameLoad
	}
	return frameAlive
}

// alive takes the answer of a probe. One that comes after its time-out may be taken for the next one's: a sign
// of life it is all the same.
func (a *actor) alive(n *note) {
	if p := a.pendingProbe; p == nil || p.connection != n.connection {
		a.hub.count.Add("late", "probes", 1)
		return
	} else if p.apart { // the backend lives, and connections that were asked before and said nothing since do not
		for _, conn := range a.connections {
			if !conn.asked.IsZero() && conn.asked.Before(p.since) {
				a.markSilent(conn, n.at)
			}
		}
	}
	if n.text == probeFailed {
		a.probed(policy.Errored, n.at, policy.Load{})
	} else {
		a.probed(policy.Answered, n.at, parseLoad([]byte(n.text)))
	}
}

func (a *actor) probed(how policy.Outcome, at time.Time, load policy.Load) {
	elapsed := max(0, at.Sub(a.pendingProbe.since).Seconds())
	a.pendingProbe = nil
	a.hub.count.Add("probes", outcomeNames[how], 1)
	a.hub.tell.Put(aggregator.Event{Event: policy.Event{Kind: policy.ProbeEnded, Backend: a.id, Outcome: how,
		Elapsed: elapsed, Load: load}})
}
