package override

import (
	"runtime"
	"testing"
	"time"

	"puffinlink.example/puffinlink/policy"
)

// tableWithOverrides returns a table of 1,000 backends with the given number of overrides: weights, out-of-service
// overrides and pins in turn.
func tableWithOverrides(tb testing.TB, overrideCount int) *Table {
	limits := Defaults()
	limits.Indexes, limits.Shards, limits.Cells, limits.Width = []string{"reads", "orders"}, 5000, 500, 1
	limits.MaxOverrides, limits.MaxPins = 1<<20, 1<<20
	table := New(limits)
	var members []Member
	for i := range 1000 {
		members = append(members, Member{Name: backendName(i), ID: policy.BackendID(i + 1), Location: backendName(i % 10), Cell: policy.CellID(i % 500)})
	}
	table.UpdateMembership(0, true, members)
	for i := range overrideCount {
		spec := Spec{Backend: backendName(i % 1000), Author: "ann", Reason: "slow", ExpiresAt: 1000 + float64(i)}
		switch i % 3 {
		case 0:
			spec.Kind, spec.Factor = Weight, 0.9
		case 1:
			spec.Kind, spec.Index = OutOfService, "orders"
		case 2:
			spec.Kind, spec.From = Pin, policy.ShardID(i%5000)
			spec.To = spec.From
		}
		set(tb, table, spec)
	}
	table.Patch(1)
	return table
}

func set(tb testing.TB, table *Table, spec Spec) Change {
	change, _, err := table.Decide(1, &Command{ExpectedRevision: table.Revision(), Force: true, Spec: spec})
	if err != nil {
		tb.Fatal(err)
	}
	table.Apply(change)
	return change
}

// BenchmarkChange compares the cost of setting and clearing one override in a table with 10,000 overrides to the cost in a
// table with 10. Both are measured in turn in the same run. It also reports the memory for each of the 10,000 overrides.
func BenchmarkChange(b *testing.B) {
	var before, after runtime.MemStats
	few := tableWithOverrides(b, 10)
	runtime.GC()
	runtime.ReadMemStats(&before)
	many := tableWithOverrides(b, 10000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var elapsed [2]time.Duration
	now := 2.0
	for b.Loop() {
		for i, table := range []*Table{many, few} {
			start := time.Now()
			for n := range 20 {
				now += 0.001
				change := set(b, table, Spec{Kind: Weight, Backend: backendName(n), Factor: 0.5, Author: "ann", Reason: "slow", ExpiresAt: 900})
				table.Patch(now)
				cleared, _, err := table.Decide(now, &Command{ExpectedRevision: table.Revision(), Op: Clear, ID: change.Override.ID, Author: "ann", Reason: "done"})
				if err != nil {
					b.Fatal(err)
				}
				table.Apply(cleared)
				table.Patch(now)
			}
			elapsed[i] += time.Since(start)
		}
	}
	b.ReportMetric(float64(elapsed[0])/float64(elapsed[1]), "many/few")
	b.ReportMetric(float64(elapsed[0].Microseconds())/float64(40*b.N), "us/change")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10000, "B/override")
	runtime.KeepAlive(many)
	runtime.KeepAlive(few)
}
