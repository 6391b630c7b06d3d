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

// OperatorClient returns the client of the aggregator's operator API. All callers share one client, because the listener accepts only
// a few connections.
func (a *Aggregator) OperatorClient() *api.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.client == nil {
		var err error
		a.client, err = api.NewClient("unix:"+a.socketPath(), "")
		a.cluster.must(err)
	}
	return a.client
}

// FleetStatus returns the fleet status that the aggregator reports to operators, as decoded JSON, or nil if the request fails.
func (a *Aggregator) FleetStatus() map[string]any {
	time.Sleep(operatorCallInterval)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status map[string]any
	if a.OperatorClient().Get(ctx, "/v1/fleet", &status) != nil {
		return nil
	}
	return status
}

// Leader returns the aggregator that leads the fleet and grants leases according to its own status, or nil if there is none.
func (c *Cluster) Leader() *Aggregator {
	for _, aggregator := range c.Aggregators {
		if s := aggregator.FleetStatus(); s != nil && s["leads"] == true && s["grants_in_s"] == nil {
			return aggregator
		}
	}
	return nil
}

// SendCommand sends a command to the aggregator and returns the version that the command created.
func (a *Aggregator) SendCommand(command map[string]any) (version uint64, err error) {
	body, _ := json.Marshal(command)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var request api.FleetCommand
	a.cluster.must(json.Unmarshal(body, &request))
	response, err := a.OperatorClient().SendFleetCommand(ctx, request)
	return response.Version, err
}

// ContractApplied reports whether the version of a tenant's contract is applied at all nodes according to the aggregator, with the
// state of each node. It returns false and nil if the request fails.
func (a *Aggregator) ContractApplied(version uint64, tenant string) (applied bool, states map[string]string) {
	time.Sleep(operatorCallInterval)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	progress, err := a.OperatorClient().Progress(ctx, version, tenant)
	if err != nil {
		return false, nil
	}
	states = map[string]string{}
	for _, node := range progress.Nodes {
		states[string(node.Node)] = node.State
	}
	return progress.Applied, states
}

// Counter sends SIGUSR1 to the process and returns the value of a counter from the log entry that the signal causes.
func (a *Aggregator) Counter(name string) (value float64) {
	a.cluster.Helper()
	text, _ := os.ReadFile(a.logPath)
	from := len(text)
	a.Signal(syscall.SIGUSR1)
	a.cluster.Await("the log shows the counters of "+a.Name, func() bool {
		text, _ := os.ReadFile(a.logPath)
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
