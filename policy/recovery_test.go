package policy

import "testing"

// After a moment in which all calls took long nothing is out and every backend is idle. Who turns every query away hears of no
// backend again: what was heard in that moment has to fade by itself, or queries are turned away for good.
func TestRecoversFromAMomentOfOverload(t *testing.T) {
	s := newScene(t, func(set *Settings) {
		set.Indexes[0].Soft, set.Indexes[0].Hard, set.Indexes[0].Minimum = 0.5, 2, 0.5
		set.Indexes = append(set.Indexes, set.Indexes[0])
		set.Indexes[1].Value = 3
	})
	for range 20 {
		s.serve(only(Send, actionsOf(s.take(2, 1))), 0.003, 0.003)
	}
	var out []Action
	for range 40 { // taken at once, so that they run while latencies are still thought short
		_, done := s.take(2, 1)
		out = append(out, only(Send, done)...)
	}
	for i := 0; i < len(out); i++ {
		a := out[i]
		out = append(out, only(Send, s.end(1, a.Subquery, a.Backend, Answered, 0.9))...)
	}
	s.tick(5)
	refused, asked := 0, 0
	for range 3600 {
		s.tick(1)
		_, done := s.take(2, 1)
		asked++
		if len(only(Nack, done)) > 0 {
			refused++
		}
		s.serve(only(Send, done), 0.003, 0.003)
	}
	if refused > 0 {
		t.Errorf("%d of %d lookups in the hour after are turned away; average %.3f, usual %.4f", refused, asked, s.m.averageLatency, s.m.medianLatency)
	}
}
