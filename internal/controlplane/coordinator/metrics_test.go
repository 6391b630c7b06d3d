package coordinator

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// oneGroupCollector collects the metrics of one group, with a fixed summary.
type oneGroupCollector struct{ groupCollector }

// Collect implements prometheus.Collector.
func (oneGroupCollector) Collect(collected chan<- prometheus.Metric) {
	collectGroup(collected, "pricing", 3, jobreport.Summary{Queued: 1, Running: 2, Ended: 4, WaitingTasks: 5, Attempts: 6, Workers: 9, ReachableWorkers: 7})
}

func TestGroupMetricsMatchSummary(t *testing.T) {
	Convey("The metrics of a group have the values of its summary and the name of its service", t, func() {
		registry := prometheus.NewPedanticRegistry()
		So(registry.Register(oneGroupCollector{}), ShouldBeNil)
		families, err := registry.Gather()
		So(err, ShouldBeNil)
		values := map[string]float64{}
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				name := family.GetName()
				for _, label := range metric.GetLabel() {
					name += " " + label.GetValue()
				}
				values[name] = metric.GetGauge().GetValue()
			}
		}
		So(values, ShouldResemble, map[string]float64{
			"puffinlink_group_epoch pricing":     3,
			"puffinlink_jobs pricing queued":     1,
			"puffinlink_jobs pricing running":    2,
			"puffinlink_jobs pricing ended":      4,
			"puffinlink_waiting_tasks pricing":   5,
			"puffinlink_runs pricing":            6,
			"puffinlink_searchers true pricing":  7,
			"puffinlink_searchers false pricing": 2,
		})
	})
}
