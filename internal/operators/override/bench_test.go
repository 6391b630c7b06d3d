package override

import (
	"runtime"
	"testing"
	"time"

	"puffinlink.example/puffinlink/policy"
)

// fleet is a table of 1,000 backends with so many overrides: weights, outs and pins by turns.
func fleet(tb testing.TB, overrides int) *Table {
	lim := Defaults()
	lim.Indexes, lim.Shards, lim.Cells, lim.Width = []string{"reads", "orders"}, 5000, 500, 1
	lim.MaxOverrides, lim.MaxPins = 1<<20, 1<<20
	b := New(lim)
	var list []Member
	for i := range 1000 {
		list = append(list, Member{Name: name(i), ID: policy.BackendID(i + 1), Location: name(i % 10), Cell: policy.CellID(i % 500)})
	}
	b.UpdateMembership(0, true, list)
	for i := range overrides {
		s := Spec{Backend: name(i % 1000), Author: "ann", Reason: "slow", End: 1000 + float64(i)}
		switch i % 3 {
		case 0:
			s.Kind, s.Factor = Weight, 0.9
		case 1:
			s.Kind, s.Index = Out, "orders"
		case 2:
			s.Kind, s.From = Pin, policy.ShardID(i%5000)
			s.To = s.From
		}
		set(tb, b, s)
	}
	b.Patch(1)
	return b
}

func set(tb testing.TB, b *Table, s Spec) Change {
	change, _, err := b.Decide(1, &Command{For: b.Revision(), Force: true, Spec: s})
	if err != nil {
		tb.Fatal(err)
	}
	b.Apply(change)
	return change
}

// BenchmarkChange tells what setting and clearing one override costs beside 10,000 others, against one beside ten, by
// turns in one run; and the memory that each of the 10,000 takes.
func BenchmarkChange(b *testing.B) {
	var before, after runtime.MemStats
	few := fleet(b, 10)
	runtime.GC()
	runtime.ReadMemStats(&before)
	many := fleet(b, 10000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var took [2]time.Duration
	now := 2.0
	for b.Loop() {
		for i, table := range []*Table{many, few} {
			began := time.Now()
			for n := range 20 {
				now += 0.001
				change := set(b, table, Spec{Kind: Weight, Backend: name(n), Factor: 0.5, Author: "ann", Reason: "slow", End: 900})
				table.Patch(now)
				cleared, _, err := table.Decide(now, &Command{For: table.Revision(), Op: Clear, ID: change.Override.ID, Author: "ann", Reason: "done"})
				if err != nil {
					b.Fatal(err)
				}
				table.Apply(cleared)
				table.Patch(now)
			}
			took[i] += time.Since(began)
		}
	}
	b.ReportMetric(float64(took[0])/float64(took[1]), "many/few")
	b.ReportMetric(float64(took[0].Microseconds())/float64(40*b.N), "us/change")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10000, "B/override")
	runtime.KeepAlive(many)
	runtime.KeepAlive(few)
}
