package aggregator

import (
	"fmt"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

var recorderNames = capture.Names{Indexes: []string{"reads", "orders"}, Customers: []string{"acme"}, SoftDeadlines: []float64{1, 1}, Shards: 8}

// TestRecorderCapturesTheLoad checks that the recorder counts queries by index and end, and calls by backend.
func TestRecorderCapturesTheLoad(t *testing.T) {
	r := newFixture(nil)
	var got []capture.Interval
	r.Capture(capture.New("n1", recorderNames, 0.1), func(i capture.Interval) { got = append(got, i) })
	r.process(Event{Event: policy.Event{Kind: policy.ListChanged, Entries: []policy.Entry{{Backend: 1}}}, Addresses: []string{"x:1"}, Names: []Name{{"s-1", "north"}}})
	one, two := r.queryEvent("aa", 0, 2), r.queryEvent("bb", 1, 1)
	r.process(one, two)
	for _, c := range r.sent {
		r.process(c.ended(policy.Answered, "v"))
	}
	disconnected := r.queryEvent("cc", 0, 1)
	r.process(disconnected)
	r.process(Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: disconnected.ClientQuery})
	for range 30 {
		r.process(Event{Event: policy.Event{Kind: policy.TimerDue, Timer: 99}})
	}
	if len(got) == 0 {
		t.Fatal("no interval was completed")
	}
	sum := capture.Capture{Intervals: got}.Sum()
	if l := sum.Loads; len(l) != 2 || l[1].Queries != 2 || l[1].Parts != 3 || l[1].Ends.Satisfied != 1 || l[1].Ends.Disconnected != 1 || l[0].Ends.Satisfied != 1 {
		t.Fatalf("loads are %+v", l)
	}
	calls, alone := int64(0), int64(0)
	for _, s := range sum.Backends {
		calls, alone = calls+s.Calls, alone+s.Alone.Count()
	}
	if calls != 3 || alone == 0 || sum.InFlight.Peak != 2 {
		t.Fatalf("%d calls, %d without others in flight to the backend, in flight %+v", calls, alone, sum.InFlight)
	}
}

// BenchmarkCapture compares the aggregator's work for a query of four subqueries with and without a recorder, alternating
// between the two. It excludes connections, headers and bodies, which take several times as long.
func BenchmarkCapture(b *testing.B) {
	with, without := newFixture(nil), newFixture(nil)
	with.Capture(capture.New("n1", recorderNames, 10), func(capture.Interval) {})
	var took [2]time.Duration
	n := 0
	for b.Loop() {
		for i, r := range []*fixture{with, without} {
			n++
			e := r.queryEvent(fmt.Sprint(n), 0, 4)
			r.sent = r.sent[:0]
			started := time.Now()
			r.process(e)
			sent := r.sent
			var ends []Event
			for _, c := range sent {
				ends = append(ends, c.ended(policy.Answered, "v"))
			}
			r.process(ends...)
			took[i] += time.Since(started)
			select {
			case <-e.ClientQuery.Done:
			default:
				b.Fatal("no reply")
			}
		}
	}
	b.ReportMetric(float64(took[0])/float64(took[1]), "with/without")
	b.ReportMetric(float64(took[1].Nanoseconds())/float64(b.N), "ns/lookup-without")
}
