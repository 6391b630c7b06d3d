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
	termDesc         = newGroupDesc("puffinlink_group_epoch", "Epoch of this node's leadership of a service's jobs; absent while another node leads.")
	jobsDesc         = newGroupDesc("puffinlink_jobs", "Jobs by state; ended jobs are those still kept for status requests.", "state")
	waitingTasksDesc = newGroupDesc("puffinlink_waiting_tasks", "Tasks that are ready to run and not assigned to a worker.")
	attemptsDesc     = newGroupDesc("puffinlink_runs", "Attempts that may be running.")
	workersDesc      = newGroupDesc("puffinlink_searchers", "Known incarnations of workers, by whether they are reachable.", "reachable")
)

func newGroupDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, append([]string{serviceLabel}, labels...), nil)
}

// Metrics returns the collectors of this node's metrics. Their values are computed whenever they are collected.
func (c *Coordinator) Metrics() []prometheus.Collector {
	return []prometheus.Collector{
		metrics.BoolGauge("puffinlink_in_contact", "Whether a majority of the replicas has replied to this node lately.", c.replicationNode.InContact),
		metrics.BoolGauge("puffinlink_disk_complete", "Whether the store of this node is complete, so that it may vote.", c.rebuilder.Ready),
		metrics.Gauge("puffinlink_view_members", "Members of the replica set in the view known to this node.", func() float64 { return float64(len(c.replicaSet.View().Members)) }),
		metrics.Gauge("puffinlink_live_members", "Members that are alive, including this node.", c.liveMembers),
		metrics.Gauge("puffinlink_configuration_version", "Newest configuration known to be in force; 0 for none.", func() float64 {
			version, _ := c.configurator.Current()
			return float64(version)
		}),
		metrics.Gauge("puffinlink_agents", "Agents on front machines that have called a core node lately.", func() float64 { return float64(len(c.feedServer.Agents())) }),
		metrics.Gauge("puffinlink_searcher_connections", "Connections to workers, including those being opened.",
			func() float64 { return float64(c.workerConnections.Usage().Open) }),
		metrics.Gauge("puffinlink_searcher_calls_waiting", "Calls to workers that wait for a connection of the budget.",
			func() float64 { return float64(c.workerConnections.Usage().Waiting) }),
		groupCollector{c},
	}
}

func (c *Coordinator) liveMembers() float64 {
	alive := 1
	for _, member := range c.replicationNode.Members() {
		if member.Alive {
			alive++
		}
	}
	return float64(alive)
}

// groupCollector collects the metrics of the groups that a node leads.
type groupCollector struct{ coordinator *Coordinator }

// Describe implements prometheus.Collector.
func (g groupCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{termDesc, jobsDesc, waitingTasksDesc, attemptsDesc, workersDesc} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (g groupCollector) Collect(collected chan<- prometheus.Metric) {
	leaders := g.coordinator.replicationNode.Leaders()
	for group, summary := range g.coordinator.jobManager.Summaries() {
		service := strings.TrimPrefix(group, feed.GroupOf(""))
		collectGroup(collected, service, leaders[group].Term, summary)
	}
}

func collectGroup(collected chan<- prometheus.Metric, service string, term uint64, summary jobreport.Summary) {
	send := func(description *prometheus.Desc, value float64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, append([]string{service}, labels...)...)
	}
	send(termDesc, float64(term))
	send(jobsDesc, float64(summary.Queued), "queued")
	send(jobsDesc, float64(summary.Running), "running")
	send(jobsDesc, float64(summary.Ended), "ended")
	send(waitingTasksDesc, float64(summary.WaitingTasks))
	send(attemptsDesc, float64(summary.Attempts))
	send(workersDesc, float64(summary.ReachableWorkers), "true")
	send(workersDesc, float64(summary.Workers-summary.ReachableWorkers), "false")
}
