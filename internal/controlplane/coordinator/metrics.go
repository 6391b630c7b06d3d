package coordinator

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/metrics"
)

const serviceLabel = "service"

// Descriptions of the metrics of the groups that this node leads.
var (
	epochDesc        = groupDesc("puffinlink_group_epoch", "Epoch of this mixer's leadership of a service's jobs; absent where another leads.")
	jobsDesc         = groupDesc("puffinlink_jobs", "Jobs by state; ended ones are those still remembered.", "state")
	waitingTasksDesc = groupDesc("puffinlink_waiting_tasks", "Tasks whose turn has come and that are not assigned.")
	attemptsMetric   = groupDesc("puffinlink_runs", "Runs that may be under way.")
	workersDesc      = groupDesc("puffinlink_searchers", "Known lives of searchers, by whether they answer.", "reachable")
)

func groupDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, append([]string{serviceLabel}, labels...), nil)
}

// Metrics are what this node reports. They are worked out when they are read.
func (c *Coordinator) Metrics() []prometheus.Collector {
	return []prometheus.Collector{
		metrics.BoolGauge("puffinlink_in_contact", "Whether a majority has answered this mixer of late.", c.node.InContact),
		metrics.BoolGauge("puffinlink_disk_complete", "Whether the disk is complete, so that this mixer votes.", c.rebuilder.Ready),
		metrics.Gauge("puffinlink_view_members", "Members of the view of the replicas.", func() float64 { return float64(len(c.replicas.View().Members)) }),
		metrics.Gauge("puffinlink_live_members", "Members that are alive, this mixer included.", c.liveMembers),
		metrics.Gauge("puffinlink_configuration_version", "Newest configuration known to be in force; 0 for none.", func() float64 {
			version, _ := c.configurator.Current()
			return float64(version)
		}),
		metrics.Gauge("puffinlink_agents", "Agents of front machines heard lately.", func() float64 { return float64(len(c.feed.Agents())) }),
		metrics.Gauge("puffinlink_searcher_connections", "Connections to searchers, those being opened included.",
			func() float64 { return float64(c.workers.Usage().Open) }),
		metrics.Gauge("puffinlink_searcher_calls_waiting", "Calls to searchers that wait for a connection of the budget.",
			func() float64 { return float64(c.workers.Usage().Waiting) }),
		groupCollector{c},
	}
}

func (c *Coordinator) liveMembers() float64 {
	alive := 1
	for _, member := range c.node.Members() {
		if member.Alive {
			alive++
		}
	}
	return float64(alive)
}

// groupCollector reports the groups that a node leads.
type groupCollector struct{ coordinator *Coordinator }

// Describe implements prometheus.Collector.
func (g groupCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{epochDesc, jobsDesc, waitingTasksDesc, attemptsMetric, workersDesc} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (g groupCollector) Collect(collected chan<- prometheus.Metric) {
	leaders := g.coordinator.node.Leaders()
	for group, summary := range g.coordinator.jobs.Summaries() {
		service := strings.TrimPrefix(group, feed.GroupOf(""))
		collectGroup(collected, service, leaders[group].Term, summary)
	}
}

func collectGroup(collected chan<- prometheus.Metric, service string, epoch uint64, summary jobreport.Summary) {
	report := func(description *prometheus.Desc, value float64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, append([]string{service}, labels...)...)
	}
	report(epochDesc, float64(epoch))
	report(jobsDesc, float64(summary.Queued), "queued")
	report(jobsDesc, float64(summary.Running), "running")
	report(jobsDesc, float64(summary.Ended), "ended")
	report(waitingTasksDesc, float64(summary.WaitingTasks))
	report(attemptsMetric, float64(summary.Attempts))
	report(workersDesc, float64(summary.ReachableWorkers), "true")
	report(workersDesc, float64(summary.Workers-summary.ReachableWorkers), "false")
}
