package planfile

import (
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/operators/capture"
)

const good = `{ // two locations
	"locations": ["north", "south"], "layout": {"cells": 4, "width": 2, "shards": 8},
	"searchers": [{"name": "a-{n}", "count": 2, "location": "north", "cell": 0, "cell_step": 2, "cores": 4},
		{"name": "b-{n}", "count": 2, "location": "south", "cell": 1, "cell_step": 2, "cores": 4}],
	"indexes": [{"name": "reads", "soft_s": 0.5, "hard_s": 2, "gain": 1, "goal": 0.99}],
	"mixers": {"count": 2, "step_s": 0.005}, "clients": {"retries": 1}, "network_s": 0.001,
}`

func load(t *testing.T, alone int64) capture.Capture {
	c := capture.Capture{}
	s := capture.SyntheticLoad{Duration: 60, Span: 10, QueriesPerSecond: 20, Shards: 8, Skew: 0.5, Indexes: []capture.SyntheticIndex{{Index: "reads", Share: 1, Parts: 3}}, Bursts: []capture.Burst{{From: 20, Duration: 10, Factor: 3}}}
	if err := s.Generate(func(i *capture.Interval) error { c.Intervals = append(c.Intervals, *i); return nil }); err != nil {
		t.Fatal(err)
	}
	x := capture.BackendLoad{Backend: "a-1", Index: "reads"}
	if alone > 0 {
		x.Alone.Add(0.012, alone)
	}
	c.Intervals[0].Backends = append(c.Intervals[0].Backends, x)
	return c
}

func TestAFleetAndItsCapture(t *testing.T) {
	f, err := Parse([]byte(good))
	if err != nil || len(f.Backends) != 4 || f.Backends[3].Cell != 3 || f.Backends[1].Name != "a-2" {
		t.Fatalf("got %+v, %v", f, err)
	}
	c := load(t, 500)
	sum := c.Sum()
	if notes, err := Fill(&f, &sum); err != nil || len(notes) != 1 || f.Indexes[0].Work < 0.0099 || f.Indexes[0].Work > 0.0102 {
		t.Fatalf("got %+v, %v, %v", f.Indexes[0], notes, err)
	}
	if s := f.Indexes[0].Shape; len(s) != quantiles || s[0] < 0.99 || s[quantiles-1] > 1.01 { // all calls took alike
		t.Fatalf("got a shape of %v", s)
	}
	if err := f.Check(); err != nil {
		t.Fatal(err)
	}
	a, notes, err := Workload(&f, c, &sum, false)
	if err != nil || len(notes) > 0 || a.QueriesPerSecond < 59 || a.QueriesPerSecond > 61 || a.Mix[0].Subqueries != 3 || a.Popular[0] <= a.Popular[7] {
		t.Fatalf("got %+v, %v, %v", a, notes, err)
	}
	if a, _, err = Workload(&f, c, &sum, true); err != nil || a.QueriesPerSecond < 26 || a.QueriesPerSecond > 27.5 {
		t.Fatalf("in the mean %+v, %v", a, err)
	}
	holed := capture.Capture{Intervals: append(c.Intervals[:1:1], c.Intervals[3:]...)}
	holedSum := holed.Sum()
	if _, notes, err := Workload(&f, holed, &holedSum, true); err != nil || len(notes) != 1 || !strings.Contains(notes[0], "for 20 s") {
		t.Fatalf("got %v, %v", notes, err)
	}
}

func TestWorkloadReportsMismatches(t *testing.T) {
	for want, in := range map[string]string{
		"line 1":                        "{",
		"3: \"coers\" is not known":     strings.Replace(good, `"cores": 4}`, `"coers": 4}`, 1),
		"expected int":                  strings.Replace(good, `"cores": 4`, `"cores": "4"`, 1),
		`effect "often", expected idem`: strings.Replace(good, `"name": "reads"`, `"name": "reads", "effect": "often"`, 1),
	} {
		if _, err := Parse([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	f, _ := Parse([]byte(good))
	c := load(t, 10)
	sum := c.Sum()
	if _, err := Fill(&f, &sum); err == nil || !strings.Contains(err.Error(), "capture a quiet hour") {
		t.Errorf("got %v", err)
	}
	f.Shards = 4
	if _, _, err := Workload(&f, c, &sum, true); err == nil || !strings.Contains(err.Error(), "the fleet holds 4") {
		t.Errorf("got %v", err)
	}
	f.Indexes[0].Name = "writes"
	if _, _, err := Workload(&f, c, &sum, true); err == nil || !strings.Contains(err.Error(), "does not describe") {
		t.Errorf("got %v", err)
	}
}
