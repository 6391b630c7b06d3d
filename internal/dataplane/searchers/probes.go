package searchers

import (
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/mixer"
	"puffinlink.example/puffinlink/logic"
)

// asking is the probe that is out; the module has one at a time.
type asking struct {
	since   time.Time
	apart   bool // on a line with nothing else out
	line    *line
	written bool
}

func (a *actor) probe(at time.Time, apart bool) {
	if a.asking != nil {
		return
	}
	a.asking = &asking{since: at, apart: apart}
	a.assign()
}

func (a *actor) ask(l *line) {
	a.asking.line = l
	l.ask(time.Now())
	l.out.Put(packet{letter: a.letter()})
}

// letter is that of a probe.
func (a *actor) letter() byte {
	if a.hub.set.Loads {
		return letterLoad
	}
	return letterAlive
}

// alive takes the answer of a probe. One that comes after its time-out may be taken for the next one's: a sign
// of life it is all the same.
func (a *actor) alive(n *note) {
	if p := a.asking; p == nil || p.line != n.line {
		a.hub.count.Add("late", "probes", 1)
		return
	} else if p.apart { // the searcher lives, and lines that were asked before and said nothing since do not
		for _, l := range a.lines {
			if !l.asked.IsZero() && l.asked.Before(p.since) {
				a.mute(l, n.at)
			}
		}
	}
	if n.text == probeFailed {
		a.probed(logic.Errored, n.at, logic.Load{})
	} else {
		a.probed(logic.Answered, n.at, parseLoad([]byte(n.text)))
	}
}

func (a *actor) probed(how logic.Outcome, at time.Time, load logic.Load) {
	elapsed := max(0, at.Sub(a.asking.since).Seconds())
	a.asking = nil
	a.hub.count.Add("probes", outcomeNames[how], 1)
	a.hub.tell.Put(mixer.Event{Event: logic.Event{Kind: logic.ProbeEnded, Searcher: a.id, Outcome: how,
		Elapsed: elapsed, Load: load}})
}
