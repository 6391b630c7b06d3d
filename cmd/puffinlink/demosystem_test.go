package main

import (
	"context"
	"io"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/tools/demo/cluster"
)

// startCoordinatorInProcess runs a coordinator in the test process. Kill therefore shuts it down gracefully.
func startCoordinatorInProcess(settingsFile string, log io.Writer) (*cluster.Process, error) {
	settings, err := nodesettings.LoadFile(settingsFile)
	if err != nil {
		return nil, err
	}
	return processLauncher{"info"}.startInProcess(settings, "", log, runCoordinator), nil
}

// startedAttempts matches the demo's output once attempts have started.
var startedAttempts = regexp.MustCompile("runs started [1-9]")

// demoOutput collects the demo's output. Once attempts have started, it sends the flags with which operators reach the nodes.
type demoOutput struct {
	mutex         sync.Mutex
	text          strings.Builder
	operatorFlags chan string // receives the flags once
	once          sync.Once
}

// Write implements io.Writer.
func (o *demoOutput) Write(line []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.text.Write(line)
	if startedAttempts.MatchString(o.text.String()) {
		_, flags, _ := strings.Cut(o.text.String(), "operators reach it at: ")
		flags, _, _ = strings.Cut(flags, "\n")
		o.once.Do(func() { o.operatorFlags <- flags })
	}
	return len(line), nil
}

// TestClusterDemoLosesAndRepeatsNothing runs the demo of the cluster scheduler for 3 s, and runs operators' commands meanwhile.
func TestClusterDemoLosesAndRepeatsNothing(t *testing.T) {
	Convey("The demo loses and repeats nothing, and operators' commands succeed", t, func() {
		output := &demoOutput{operatorFlags: make(chan string, 1)}
		var summary cluster.Summary
		var runErr error
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			summary, runErr = cluster.Run(context.Background(), cluster.Options{
				For: 3 * time.Second, Every: 100 * time.Millisecond, Workers: 3, JobsPerSecond: 5, Directory: t.TempDir(), Out: output, Log: io.Discard,
				Launcher: cluster.Launcher{Coordinator: startCoordinatorInProcess, Front: processLauncher{"info"}.startFront},
			})
		}()
		defer func() { <-ended }()
		select {
		case flags := <-output.operatorFlags:
			runOperatorSession(t, strings.Fields(flags))
		case <-ended:
		}
		<-ended
		So(runErr, ShouldBeNil)
		Printf("%+v\n%s", summary, output.text.String())
		So(summary.Good(), ShouldBeTrue)
	})
}

// runOperatorSession runs operators' commands against the demo.
func runOperatorSession(t *testing.T, at []string) {
	runCommand := func(code int, wantOutput, line string) {
		got, out := runForTest(t, append(strings.Fields(line), at...)...)
		So(out, ShouldContainSubstring, wantOutput)
		So(got, ShouldEqual, code)
	}
	runCommand(0, "configuration: version 1", "status")
	runCommand(0, "pricing-2", "searchers --service pricing")
	runCommand(0, "gets no new starts", "drain pricing-2")
	runCommand(0, "operatorDraining", "searchers --service pricing")
	runCommand(0, "gets starts again", "undrain pricing-2")
	runCommand(0, "JOB", "jobs")
	runCommand(exitRefused, "no searcher", "drain nobody")
	runCommand(exitRefused, "no job", "why 0000000000000000")
}
