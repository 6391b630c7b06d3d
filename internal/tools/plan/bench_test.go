package plan

import (
	"fmt"
	"testing"
)

// BenchmarkEmulate measures how the duration of one emulation at half load grows with the size of the deployment. There are
// ten shards per backend and ten backends per aggregator, which makes 500 queries per second for each aggregator.
func BenchmarkEmulate(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			site := testSite(n, 4)
			site.Shards, site.Aggregators = 10*n, max(2, n/10)
			workload := testWorkload(float64(n)*4/0.01/4*0.5, 4)
			var outcome Outcome
			for b.Loop() {
				outcome = Emulate(&site, &workload, 1, 0)
			}
			b.ReportMetric(float64(outcome.Requested), "lookups")
			b.ReportMetric(outcome.ValueShare, "gain")
		})
	}
}
