package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/api"
)

// runForTest runs a command line. It returns the exit code and the output on stdout and stderr.
func runForTest(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	var text bytes.Buffer
	previousOut, previousErr := stdout, stderr
	stdout, stderr = &text, &text
	defer func() { stdout, stderr = previousOut, previousErr }()
	code = runCommandLine(args)
	return code, text.String()
}

func TestCommandLinesReturnExitCodeAndMessage(t *testing.T) {
	t.Setenv("PUFFINLINK_OPERATORS", "") // restores the variable when the test ends
	os.Unsetenv("PUFFINLINK_OPERATORS")
	bad := filepath.Join(t.TempDir(), "bad.json5")
	os.WriteFile(bad, []byte("{\n\"overides\": {}}"), 0o600)
	for want, c := range map[string]struct {
		code int
		args string
	}{
		"unexpected argument nothing":             {exitUsage, "nothing"},
		"missing flags: --at=ADDRESS":             {exitUsage, "override list"},
		"missing flags: --at=ADDRESS, --for":      {exitUsage, "override set"},
		`must be one of "weight","out","pin"`:     {exitUsage, "override set none s-1 --at unix:/x --for 1m --reason x"},
		"expected unix:/PATH or HOST:PORT":        {exitFailed, "override list --at nowhere"},
		"no such file or directory":               {exitUnreachable, "override list --at unix:/nowhere/s"},
		"a pin needs --shards":                    {exitFailed, "override set pin s-1 --at unix:/x --for 1m --reason x"},
		`shards are "x-2", expected one as 7`:     {exitFailed, "override set pin s-1 --shards x-2 --at unix:/x --for 1m --reason x"},
		"bad.json5:2: overides is not known, the": {exitFailed, "check " + bad},
		"good; overrides off":                     {0, "check ../../deploy/operator.json5"},
		"at least 1, 2 to 512":                    {exitFailed, "demo --mixers 0 --for 1s"},
		"Example: puffinlink override set":        {0, "override set --help"},
		`"go":"go1.`:                              {0, "version --json"},
	} {
		if code, out := runForTest(t, strings.Fields(c.args)...); code != c.code || !strings.Contains(out, want) {
			t.Errorf("%s: exit code %d, expected %d with %q; output:\n%s", c.args, code, c.code, want, out)
		}
	}
}

// TestOverrideCommandsAgainstARunningAggregator sets, lists, explains and clears overrides of an aggregator that serves.
func TestOverrideCommandsAgainstARunningAggregator(t *testing.T) {
	dir, err := os.MkdirTemp("", "pl") // t.TempDir may be too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	listen, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	setConfiguration(t, listen, "127.0.0.1:1", "127.0.0.1:2", validSettings)
	socket := "unix:" + dir + "/s"
	operator := filepath.Join(dir, "operator.json5")
	os.WriteFile(operator, []byte(`{"overrides": {"directory": "`+dir+`/kept"}, "operators": {"listen": "`+socket+`"}}`), 0o600)
	t.Setenv("PUFFINLINK_OPERATOR", operator)
	t.Setenv("PUFFINLINK_OPERATORS", socket)
	ended := make(chan error, 1)
	go func() { ended <- serveAggregator(operator) }()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("unix", dir+"/s"); err == nil {
			c.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the operators' listener was not ready within a minute")
		}
	}
	runCommand := func(code int, want, line string) string {
		t.Helper()
		got, out := runForTest(t, strings.Fields(line)...)
		if got != code || !strings.Contains(out, want) {
			t.Fatalf("%s: exit code %d, expected %d with %q; output:\n%s", line, got, code, want, out)
		}
		return out
	}
	runCommand(exitRefused, "last_holder", "override set out s-1 --for 1h --reason slow")
	runCommand(0, "override 1 set: s-1 out", "override set out s-1 --for 1h --reason slow --force --author ann")
	runCommand(exitConflict, "conflict", "override set weight s-1 --weight 0.5 --for 1h --reason slow --revision 0")
	runCommand(0, "override 2 set", "override set weight s-1 --weight 0.5 --for 1h --reason slow --revision 1 --key k1")
	runCommand(0, "it had acted before", "override set weight s-1 --weight 0.5 --for 1h --reason slow --revision 1 --key k1")
	runCommand(0, "suspended: override 1", "override list")
	runCommand(0, "shard 2 of reads does not go to s-1", "override why 2 reads s-1")
	runCommand(exitRefused, "unknown", "override clear 9 --reason done")
	runCommand(0, "cleared", "override clear 1 --reason done")
	runCommand(0, "forced over last_holder", "override history")
	var view api.View
	if err := json.Unmarshal([]byte(runCommand(0, `"revision": 3`, "override list --json")), &view); err != nil || len(view.Overrides) != 1 || view.Overrides[0].State != "acts" {
		t.Fatalf("got %+v, %v", view, err)
	}
	self, _ := os.FindProcess(os.Getpid())
	self.Signal(os.Interrupt)
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the aggregator did not end within a minute")
	}
	runCommand(exitUnreachable, "", "override list")
}
