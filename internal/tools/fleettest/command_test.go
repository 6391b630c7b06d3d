package fleettest

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// countElections returns how often any aggregator became leader of the consensus group, according to the logs.
func (c *Cluster) countElections() (count int) {
	c.Helper()
	for _, aggregator := range c.Aggregators {
		text, err := os.ReadFile(aggregator.logPath)
		c.must(err)
		count += bytes.Count(text, []byte(`"fleet leadership began"`))
	}
	return count
}

// TestFleetCommandsWorkAtANonLeader runs the operator's fleet commands at an aggregator that is not the leader. It sets a contract
// and waits until it is applied, and sets a quota. It checks that mistakes are reported, that a retried command takes effect once,
// and that the settings appear in the output of show and why.
func TestFleetCommandsWorkAtANonLeader(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, ContractsJSON: contractsJSON})
	aggregator := c.Aggregators[(c.awaitGranter().index+1)%3]
	command := func(args ...string) string {
		cmd := exec.Command(BinaryPath(t, "failpoints"), append(append([]string{"fleet"}, args...), "--at", "unix:"+aggregator.socketPath())...)
		out, _ := cmd.CombinedOutput()
		return string(out)
	}
	run := func(want string, args ...string) string {
		t.Helper()
		out := command(args...)
		if !strings.Contains(out, want) {
			t.Errorf("fleet %s: got %q, expected %q", strings.Join(args, " "), out, want)
		}
		return out
	}
	elections := c.countElections()
	first := run("held everywhere", "contract", "cato", "--zones", "a", "--reason", "signed", "--id", "one")
	if retried := run("held everywhere", "contract", "cato", "--zones", "a", "--reason", "signed", "--id", "one"); retried != first {
		t.Errorf("a retried command returned another version: first %q, then %q", retried, first)
	}
	run(`zone "mars" of tenant "cato" is none that the settings know`, "contract", "cato", "--zones", "mars", "--reason", "r")
	run("has no zone", "contract", "cato", "--reason", "r")
	run("burst has to be 1 or more", "quota", "acme", "--per-s", "5", "--burst", "0", "--reason", "r")
	run("accepted as version", "quota", "acme", "--per-s", "5", "--burst", "50", "--reason", "r")
	c.Await("the aggregator has received the quota", func() bool {
		status := aggregator.FleetStatus()
		return status != nil && len(status["quotas"].(map[string]any)) > 0
	})
	c.Await("the aggregator knows a leader", func() bool { // on a busy machine the last leader may have lost its lease
		status := aggregator.FleetStatus()
		return status != nil && status["leader"] != nil && status["leader"] != ""
	})
	if shown := run("leader m", "show"); !strings.Contains(shown, "contract cato") || !strings.Contains(shown, "quota acme") {
		t.Errorf("the output of show lacks the contract or the quota: %s", shown)
	}
	run(`parts go to searchers in ["a"] alone`, "why", "cato", "reads")
	run("5 a second and a burst of 50 over all mixers", "why", "acme", "reads")
	version := strings.Fields(first)[3]
	if reply := command("held", version, "cato"); !strings.Contains(reply, "held everywhere: true") && c.countElections() == elections {
		t.Errorf("the leader has reported version %s as applied, but now answers %q", version, reply)
	}
	run("held everywhere: true", "held", version, "cato", "--wait", "40s") // a newly elected leader first needs the reports of all aggregators
	run("accepted as version", "contract", "cato", "--clear", "--reason", "left")
	run("none speaks of this tenant", "why", "cato", "reads")
}
