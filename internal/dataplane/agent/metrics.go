package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"puffinlink.example/puffinlink/internal/metrics"
)

// Metrics returns the collectors of the agent. Their values are calculated at each collection.
func (a *Agent) Metrics() []prometheus.Collector {
	return []prometheus.Collector{
		metrics.BoolGauge("puffinlink_in_contact", "Whether a coordinator has lately confirmed that the agent is up to date.", a.InContact),
		metrics.Gauge("puffinlink_configuration_version", "Newest configuration known; 0 for none.",
			func() float64 { return float64(a.Snapshot().ConfigurationVersion) }),
		metrics.Gauge("puffinlink_known_leaders", "Services whose jobs have a known leader.",
			func() float64 { return float64(len(a.Snapshot().Leaders)) }),
		metrics.Gauge("puffinlink_known_core", "Coordinators known.", func() float64 { return float64(len(a.Snapshot().Coordinators)) }),
		metrics.Gauge("puffinlink_known_agents", "Agents of front machines known.", func() float64 { return float64(len(a.Snapshot().Agents)) }),
	}
}
