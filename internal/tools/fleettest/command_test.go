package fleettest

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// electionsWon counts how often any aggregator became the consensus group's leader.
func (c *Cluster) countElections() (count int) {
	c.Helper()
	for _, aggregator := range c.Aggregators {
		text, err := os.ReadFile(aggregator.logPath)
		c.must(err)
		count += bytes.Count(text, []byte(`"fleet leadership began"`))
	}
	return count
}

// What an operator does with a fleet by the command line, at an aggregator that need not lead: a contract is set and waited for,
// a quota set, a mistake reported, a retried command acts once, and each is shown and explained.
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
		t.Errorf("a retried command made another version: %q and %q", retried, first)
	}
	run(`zone "mars" of tenant "cato" is none that the settings know`, "contract", "cato", "--zones", "mars", "--reason", "r")
	run("has no zone", "contract", "cato", "--reason", "r")
	run("burst has to be 1 or more", "quota", "acme", "--per-s", "5", "--burst", "0", "--reason", "r")
	run("accepted as version", "quota", "acme", "--per-s", "5", "--burst", "50", "--reason", "r")
	c.Await("the quota is received", func() bool {
		status := aggregator.FleetStatus()
		return status != nil && len(status["quotas"].(map[string]any)) > 0
	})
	c.Await("it knows a leader", func() bool { // none is for a while where a busy machine let the last one's time run out
		status := aggregator.FleetStatus()
		return status != nil && status["leader"] != nil && status["leader"] != ""
	})
	if shown := run("leader m", "show"); !strings.Contains(shown, "contract cato") || !strings.Contains(shown, "quota acme") {
		t.Errorf("shown: %s", shown)
	}
	run(`parts go to searchers in ["a"] alone`, "why", "cato", "reads")
	run("5 a second and a burst of 50 over all mixers", "why", "acme", "reads")
	version := strings.Fields(first)[3]
	if reply := command("held", version, "cato"); !strings.Contains(reply, "held everywhere: true") && c.countElections() == elections {
		t.Errorf("the leader that reported version %s as applied now answers %q", version, reply)
	}
	run("held everywhere: true", "held", version, "cato", "--wait", "40s") // a leader elected meanwhile needs the reports of all first
	run("accepted as version", "contract", "cato", "--clear", "--reason", "left")
	run("none speaks of this tenant", "why", "cato", "reads")
}
