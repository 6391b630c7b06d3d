package plan

import (
	"fmt"
	"testing"
)

// BenchmarkEmulate tells how the time of one emulation at half load grows with the fleet: ten shards a backend, and ten
// backends an aggregator, which then takes 500 queries a second.
func BenchmarkEmulate(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			site := testSite(n, 4)
			site.Shards, site.Aggregators = 10*n, max(2, n/10)
			a := testWorkload(float64(n)*4/0.01/4*0.5, 4)
			var o Outcome
			for b.Loop() {
				o = Emulate(&site, &a, 1, 0)
			}
			b.ReportMetric(float64(o.Requested), "lookups")
			b.ReportMetric(o.ValueShare, "gain")
		})
	}
}
