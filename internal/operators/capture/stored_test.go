package capture

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	storedCapture  = "testdata/stored/earlier.capture"
	storedJSON     = "testdata/stored.json" // the intervals as JSON
	updateVariable = "GOLDEN_UPDATE"        // if set to 1, the test rewrites the stored data
)

func newTestHistogram(counts map[float64]int64) (h Histogram) {
	for seconds, count := range counts {
		h.Add(seconds, count)
	}
	return h
}

// wantIntervals returns the intervals of the stored capture. They set each field.
func wantIntervals() []Interval {
	return []Interval{
		{
			At: 1000.5, Span: 2.5, Aggregators: []string{"n1", "n2"},
			Loads: []Load{
				{Index: "orders", Customer: "acme", Queries: 11, Resent: 2, Parts: 33, Hint: 0.75,
					Ends: Ends{Satisfied: 1, Late: 2, Rejected: 3, Aborted: 4, Disconnected: 5, Full: 6}},
				{Index: "reads", Queries: 1},
			},
			Indexes: []IndexLoad{{Index: "orders", Parts: map[int]int64{1: 4, 3: 7}, Latency: newTestHistogram(map[float64]int64{0.01: 3, 0.5: 1})}},
			Shards:  []ShardLoad{{Index: "orders", Shard: 7, Parts: 20}, {Index: "orders", Shard: 8, Parts: 13}},
			Backends: []BackendLoad{{Backend: "s-1", Location: "north", Index: "orders", Calls: 9, Failed: 1, Rejected: 2,
				Latency: newTestHistogram(map[float64]int64{0.02: 5}), Alone: newTestHistogram(map[float64]int64{0.001: 2}), Reports: 8, Service: 0.125, Util: 4.5}},
			InFlight: Level{Mean: 1.5, Peak: 4}, CallsInFlight: Level{Mean: 2.25, Peak: 9},
		},
		{At: 1003, Span: 2.5, Aggregators: []string{"n1", "n2"}},
	}
}

// marshalIntervals returns the JSON of intervals, as their blocks hold it.
func marshalIntervals(list []Interval) string {
	text, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		panic(err) // intervals can always be encoded
	}
	return string(text) + "\n"
}

func writeStoredCapture(t *testing.T) {
	if err := os.MkdirAll(filepath.Dir(storedCapture), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := Save(storedCapture, Capture{wantIntervals()}); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(storedJSON, []byte(marshalIntervals(wantIntervals())), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestReadsStoredDataOfACapture(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		writeStoredCapture(t)
	}
	golden, err := os.ReadFile(storedJSON)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given a capture that an earlier build saved", t, func() {
		for _, path := range []string{storedCapture, filepath.Dir(storedCapture)} {
			Convey("all of it is read from "+path, func() {
				c, truncations, err := Open(path)
				So(err, ShouldBeNil)
				So(truncations, ShouldBeEmpty)
				So(c.Intervals, ShouldResemble, wantIntervals())
				So(marshalIntervals(c.Intervals), ShouldEqual, string(golden))
			})
		}
	})
}
