package planfile

import (
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/operators/capture"
)

// validDescription describes four backends in two locations, without the work of its index.
const validDescription = `{ // two locations
	"locations": ["north", "south"], "layout": {"cells": 4, "width": 2, "shards": 8},
	"searchers": [{"name": "a-{n}", "count": 2, "location": "north", "cell": 0, "cell_step": 2, "cores": 4},
		{"name": "b-{n}", "count": 2, "location": "south", "cell": 1, "cell_step": 2, "cores": 4}],
	"indexes": [{"name": "reads", "soft_s": 0.5, "hard_s": 2, "gain": 1, "goal": 0.99}],
	"mixers": {"count": 2, "step_s": 0.005}, "clients": {"retries": 1}, "network_s": 0.001,
}`

// synthesizeCapture returns a capture of one minute with a burst of three times the rate from 20 s to 30 s. Its first interval
// has the given number of uncontended calls of 12 ms.
func synthesizeCapture(t *testing.T, uncontended int64) capture.Capture {
	captured := capture.Capture{}
	synthesis := capture.SyntheticLoad{Duration: 60, Span: 10, QueriesPerSecond: 20, Shards: 8, Skew: 0.5, Indexes: []capture.SyntheticIndex{{Index: "reads", Share: 1, Parts: 3}}, Bursts: []capture.Burst{{From: 20, Duration: 10, Factor: 3}}}
	if err := synthesis.Generate(func(i *capture.Interval) error { captured.Intervals = append(captured.Intervals, *i); return nil }); err != nil {
		t.Fatal(err)
	}
	backendLoad := capture.BackendLoad{Backend: "a-1", Index: "reads"}
	if uncontended > 0 {
		backendLoad.Alone.Add(0.012, uncontended)
	}
	captured.Intervals[0].Backends = append(captured.Intervals[0].Backends, backendLoad)
	return captured
}

func TestDescriptionAndCaptureGiveAWorkload(t *testing.T) {
	site, err := Parse([]byte(validDescription))
	if err != nil || len(site.Backends) != 4 || site.Backends[3].Cell != 3 || site.Backends[1].Name != "a-2" {
		t.Fatalf("got %+v, %v", site, err)
	}
	captured := synthesizeCapture(t, 500)
	sum := captured.Sum()
	if notes, err := FillWork(&site, &sum); err != nil || len(notes) != 1 || site.Indexes[0].Work < 0.0099 || site.Indexes[0].Work > 0.0102 {
		t.Fatalf("got %+v, %v, %v", site.Indexes[0], notes, err)
	}
	if s := site.Indexes[0].WorkQuantiles; len(s) != workQuantileCount || s[0] < 0.99 || s[workQuantileCount-1] > 1.01 { // all calls have the same duration
		t.Fatalf("got work quantiles %v, expected 1 for all", s)
	}
	if err := site.Check(); err != nil {
		t.Fatal(err)
	}
	workload, notes, err := Workload(&site, captured, &sum, false)
	if err != nil || len(notes) > 0 || workload.QueriesPerSecond < 59 || workload.QueriesPerSecond > 61 || workload.Mix[0].Subqueries != 3 || workload.Popularity[0] <= workload.Popularity[7] {
		t.Fatalf("got %+v, %v, %v", workload, notes, err)
	}
	if workload, _, err = Workload(&site, captured, &sum, true); err != nil || workload.QueriesPerSecond < 26 || workload.QueriesPerSecond > 27.5 {
		t.Fatalf("got %+v for the mean, %v", workload, err)
	}
	withGap := capture.Capture{Intervals: append(captured.Intervals[:1:1], captured.Intervals[3:]...)}
	sumWithGap := withGap.Sum()
	if _, notes, err := Workload(&site, withGap, &sumWithGap, true); err != nil || len(notes) != 1 || !strings.Contains(notes[0], "for 20 s") {
		t.Fatalf("got %v, %v", notes, err)
	}
}

func TestWorkloadReportsMismatches(t *testing.T) {
	for want, in := range map[string]string{
		"line 1":                        "{",
		"3: \"coers\" is not known":     strings.Replace(validDescription, `"cores": 4}`, `"coers": 4}`, 1),
		"expected int":                  strings.Replace(validDescription, `"cores": 4`, `"cores": "4"`, 1),
		`effect "often", expected idem`: strings.Replace(validDescription, `"name": "reads"`, `"name": "reads", "effect": "often"`, 1),
	} {
		if _, err := Parse([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	site, _ := Parse([]byte(validDescription))
	captured := synthesizeCapture(t, 10)
	sum := captured.Sum()
	if _, err := FillWork(&site, &sum); err == nil || !strings.Contains(err.Error(), "capture a quiet hour") {
		t.Errorf("got %v", err)
	}
	site.Shards = 4
	if _, _, err := Workload(&site, captured, &sum, true); err == nil || !strings.Contains(err.Error(), "the fleet holds 4") {
		t.Errorf("got %v", err)
	}
	site.Indexes[0].Name = "writes"
	if _, _, err := Workload(&site, captured, &sum, true); err == nil || !strings.Contains(err.Error(), "does not describe") {
		t.Errorf("got %v", err)
	}
}
