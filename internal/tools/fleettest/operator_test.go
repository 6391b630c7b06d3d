package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

// OperatorClient is its operators' client, one for all: the listener takes few connections.
func (m *Aggregator) OperatorClient() *api.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.client == nil {
		var err error
		m.client, err = api.NewClient("unix:"+m.socket(), "")
		m.cluster.must(err)
	}
	return m.client
}

// FleetStatus is the aggregator's status of the fleet for operators, as decoded JSON; nil where it does not answer.
func (m *Aggregator) FleetStatus() map[string]any {
	time.Sleep(operatorCallInterval)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var s map[string]any
	if m.OperatorClient().Get(ctx, "/v1/fleet", &s) != nil {
		return nil
	}
	return s
}

// Leader is the aggregator that leads and grants, by its own status; nil for none.
func (c *Cluster) Leader() *Aggregator {
	for _, m := range c.Aggregators {
		if s := m.FleetStatus(); s != nil && s["leads"] == true && s["grants_in_s"] == nil {
			return m
		}
	}
	return nil
}

// Command sends a command through one aggregator, and returns the version that it made.
func (m *Aggregator) Command(command map[string]any) (version uint64, err error) {
	body, _ := json.Marshal(command)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var c api.FleetCommand
	m.cluster.must(json.Unmarshal(body, &c))
	r, err := m.OperatorClient().SendFleetCommand(ctx, c)
	return r.Version, err
}

// ContractApplied requests from one aggregator whether a version is applied everywhere, and each node's state.
func (m *Aggregator) ContractApplied(version uint64, tenant string) (applied bool, states map[string]string) {
	time.Sleep(operatorCallInterval)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	p, err := m.OperatorClient().Progress(ctx, version, tenant)
	if err != nil {
		return false, nil
	}
	states = map[string]string{}
	for _, x := range p.Nodes {
		states[string(x.Node)] = x.State
	}
	return p.Applied, states
}

// Counter reads a counter of the process from its log, after a SIGUSR1.
func (m *Aggregator) Counter(name string) (value float64) {
	m.cluster.Helper()
	text, _ := os.ReadFile(m.log)
	from := len(text)
	m.Signal(syscall.SIGUSR1)
	m.cluster.Await("counters of "+m.Name, func() bool {
		text, _ := os.ReadFile(m.log)
		for line := range bytes.Lines(text[min(from, len(text)):]) {
			var fields map[string]any
			if json.Unmarshal(line, &fields) == nil && fields["message"] == "counters" {
				value, _ = fields[name].(float64)
				return true
			}
		}
		return false
	})
	return value
}
