package policy

import "testing"

// Guards against an aggregator that rejects all queries forever after a short overload. Once the slow calls have ended, no call
// is in flight and all backends are idle. An aggregator that rejects every query gets no new latency samples, so the high
// estimates must decay without them.
func TestAdmissionRecoversFromAShortOverload(t *testing.T) {
	s := newFixture(t, func(set *Settings) {
		set.Indexes[0].Soft, set.Indexes[0].Hard, set.Indexes[0].Minimum = 0.5, 2, 0.5
		set.Indexes = append(set.Indexes, set.Indexes[0])
		set.Indexes[1].Value = 3
	})
	for range 20 {
		s.answerAll(ofKind(Send, actionsOf(s.receive(2, 1))), 0.003, 0.003)
	}
	var sends []Action
	for range 40 { // all at once, so that they are sent while latency estimates are still low
		_, actions := s.receive(2, 1)
		sends = append(sends, ofKind(Send, actions)...)
	}
	for i := 0; i < len(sends); i++ {
		a := sends[i]
		sends = append(sends, ofKind(Send, s.endCall(1, a.Subquery, a.Backend, Answered, 0.9))...)
	}
	s.tick(5)
	rejected, queries := 0, 0
	for range 3600 {
		s.tick(1)
		_, actions := s.receive(2, 1)
		queries++
		if len(ofKind(Nack, actions)) > 0 {
			rejected++
		}
		s.answerAll(ofKind(Send, actions), 0.003, 0.003)
	}
	if rejected > 0 {
		t.Errorf("%d of %d queries in the following hour were rejected; average latency %.3f, median %.4f", rejected, queries, s.aggregator.averageLatency, s.aggregator.medianLatency)
	}
}
