package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAggregatorCommandLinesReturnExitCodeAndMessage(t *testing.T) {
	for _, name := range []string{"PUFFINLINK_OPERATORS", "LB_CONFIG"} {
		t.Setenv(name, "") // restores the variable when the test ends
		os.Unsetenv(name)
	}
	cases := []struct {
		line       string
		code       int
		wantOutput string
	}{
		{"", exitFailed, "LB_CONFIG names no file"},
		{"serve", exitFailed, "LB_CONFIG names no file"},
		{"--operator x", exitUsage, "unknown flag"},
		{"serve x", exitUsage, "unexpected argument x"},
		{"serve --operator=/nowhere", exitFailed, "LB_CONFIG names no file"},
		{"check", exitUsage, "file"},
		{"check a b", exitUsage, "unexpected argument b"},
		{"check --json ../../deploy/operator.json5", 0, "{"},
		{"check ../../deploy/operator.json5 --json=false", 0, "good; "},
		{"override", exitUsage, "list"},
		{"override nope", exitUsage, "unexpected argument nope"},
		{"override list --at", exitUsage, "--at"},
		{"override list extra --at unix:/x", exitUsage, "unexpected argument extra"},
		{"override --at unix:/x list", exitUsage, "unknown flag"},
		{"override list --at=unix:/nowhere/s", exitUnreachable, "no such file"},
		{"override set", exitUsage, "missing flags: --at=ADDRESS, --for=DURATION, --reason=STRING"},
		{"override set out s-1 --at unix:/x --for x --reason y", exitUsage, "--for"},
		{"override set --for 1m out --reason y s-1 --at unix:/nowhere/s", exitUnreachable, "no such file"},
		{"override set out s-1 --at unix:/nowhere/s --for 1m --reason y --revision=-1", exitUnreachable, "no such file"},
		{"override clear 0 --reason x --at unix:/x", exitFailed, "override 0, expected an id"},
		{"override clear x --reason x --at unix:/x", exitUsage, `expected a number but got "x"`},
		{"override clear --reason x --at unix:/nowhere/s -- 1", exitUnreachable, "no such file"},
		{"override why 7 reads --at unix:/x", exitUsage, "searcher"},
		{"fleet contract --reason x --at unix:/x", exitUsage, "tenant"},
		{"fleet quota acme --per-s x --reason x --at unix:/x", exitUsage, "--per-s"},
		{"capture merge --out x", exitUsage, "paths"},
		{"capture cut a --from x --for 1h --out y", exitUsage, `expected a time as 2026-11-30T08:00:00Z but got "x"`},
		{"capture cut /nowhere --from 2026-11-30T08:00:00Z --for 1h --out y", exitFailed, "no such file"},
		{"plan compare a --capture b", exitUsage, "other"},
		{"token --key-file /nowhere/k --role admin", exitUsage, "read or write"},
		{"demo --log-level loud", exitUsage, "loud"},
		{"demo --mixers x", exitUsage, "--mixers"},
		{"version --json=x", exitUsage, "--json"},
		{"--version", exitUsage, "unknown flag"},
		{"--help", 0, "plan prove "},
		{"-h", 0, "override set "},
		{"fleet --help", 0, "How far a contract got"},
		{"plan compare --help", 0, "--other-capture=STRING"},
		{"override list --help", 0, "[$PUFFINLINK_OPERATORS]"},
	}
	Convey("Command lines of an aggregator return the exit code and print the message", t, func() {
		for _, c := range cases {
			Convey("puffinlink "+c.line, func() {
				code, out := runForTest(t, strings.Fields(c.line)...)
				So(code, ShouldEqual, c.code)
				So(out, ShouldContainSubstring, c.wantOutput)
			})
		}
	})
}

func TestOverviewListsAllCommandsInOrder(t *testing.T) {
	code, out := runForTest(t, "--help")
	Convey("The help lists the scheduler's processes first, then its operators' commands, then the aggregator's commands", t, func() {
		So(code, ShouldEqual, 0)
		for _, process := range clusterProcesses {
			So(out, ShouldContainSubstring, "\n  "+process.name+" ")
		}
		for _, op := range operations {
			So(out, ShouldContainSubstring, "\n  "+op.name+" ")
		}
		So(strings.Index(out, "\n  coordinator "), ShouldBeLessThan, strings.Index(out, "\n  status "))
		So(strings.Index(out, "\n  check-settings "), ShouldBeLessThan, strings.Index(out, "\n  serve "))
	})
}

// parseForTest parses a command line and returns its command without running it.
func parseForTest(args ...string) flags.Commander {
	command, err := parseAggregatorCommand(newAggregatorParser(), args)
	So(err, ShouldBeNil)
	return command
}

func TestAggregatorFlagsReachTheCommand(t *testing.T) {
	t.Setenv("PUFFINLINK_OPERATORS", "unix:/from-the-environment")
	t.Setenv("USER", "ann")
	Convey("Flags, arguments, defaults and environment variables set the command's fields", t, func() {
		Convey("for an override", func() {
			set := parseForTest("override", "set", "pin", "s-1", "--shards", "7-9", "--for", "90m", "--reason", "two words", "--strict").(*overrideSetCommand)
			So(set.At, ShouldEqual, "unix:/from-the-environment")
			So(set.Arguments.Kind, ShouldEqual, overridePin)
			So(set.Arguments.Target, ShouldEqual, "s-1")
			So(set.Shards, ShouldEqual, "7-9")
			So(set.For, ShouldEqual, 90*time.Minute)
			So(set.Reason, ShouldEqual, "two words")
			So(set.Author, ShouldEqual, "ann")
			So(set.Revision, ShouldEqual, -1)
			So(set.Strict, ShouldBeTrue)
			So(set.Force, ShouldBeFalse)
		})
		Convey("for a contract, whose lists are comma-separated or repeated flags", func() {
			contract := parseForTest("fleet", "contract", "acme", "--zones", "a,b", "--zones=c", "--reason", "x", "--at", "unix:/s").(*fleetContractCommand)
			So(contract.At, ShouldEqual, "unix:/s")
			So(contract.Arguments.Tenant, ShouldEqual, "acme")
			So([]string(contract.Zones), ShouldResemble, []string{"a", "b", "c"})
			So(contract.Indexes, ShouldBeEmpty)
			So(contract.Wait, ShouldEqual, 30*time.Second)
		})
		Convey("for captures", func() {
			cut := parseForTest("capture", "cut", "all", "--from", "2026-11-30T09:00:00+01:00", "--for", "1h", "--out", "x").(*captureCutCommand)
			So(cut.From.Equal(time.Date(2026, 11, 30, 8, 0, 0, 0, time.UTC)), ShouldBeTrue)
			merge := parseForTest("capture", "merge", "n1", "n2", "--out", "x").(*captureMergeCommand)
			So(merge.Arguments.Paths, ShouldResemble, []string{"n1", "n2"})
			So(merge.Span, ShouldEqual, 10*time.Second)
		})
		Convey("for plans", func() {
			compare := parseForTest("plan", "compare", "a", "b", "--capture", "c").(*planCompareCommand)
			So(compare.Arguments.Fleet, ShouldEqual, "a")
			So(compare.Second.Other, ShouldEqual, "b")
			So(compare.Times, ShouldEqual, 1)
			So(compare.Seed, ShouldEqual, 1)
		})
		Convey("for the demo", func() {
			demo := parseForTest("demo").(*demoCommand)
			So(*demo, ShouldResemble, demoCommand{Aggregators: 2, Backends: 6, QueriesPerSecond: 200, Service: 5 * time.Millisecond, Every: time.Second, JobsPerSecond: 6, LogLevel: "info"})
		})
	})
}
