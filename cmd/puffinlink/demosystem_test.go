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

// startCoordinatorInside runs a coordinator in this process; a kill is an orderly stop then.
func startCoordinatorInside(settingsFile string, log io.Writer) (*cluster.Process, error) {
	settings, err := nodesettings.LoadFile(settingsFile)
	if err != nil {
		return nil, err
	}
	return launcher{"info"}.startInside(settings, "", log, runCoordinator), nil
}

// someRuns is found in what the demo prints once tasks have started.
var someRuns = regexp.MustCompile("runs started [1-9]")

// shownProgress gathers what the demo prints, and tells once tasks have started.
type shownProgress struct {
	mutex  sync.Mutex
	text   strings.Builder
	served chan string // the operators' flags
	once   sync.Once
}

// Write implements io.Writer.
func (p *shownProgress) Write(line []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.text.Write(line)
	if someRuns.MatchString(p.text.String()) {
		_, flags, _ := strings.Cut(p.text.String(), "operators reach it at: ")
		flags, _, _ = strings.Cut(flags, "\n")
		p.once.Do(func() { p.served <- flags })
	}
	return len(line), nil
}

// TestSystemDemo runs the whole system for a short while, and operates it on the way.
func TestSystemDemo(t *testing.T) {
	Convey("The demo loses and doubles nothing, and operators get their answers", t, func() {
		shown := &shownProgress{served: make(chan string, 1)}
		var summary cluster.Summary
		var failed error
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			summary, failed = cluster.Run(context.Background(), cluster.Options{
				For: 3 * time.Second, Every: 100 * time.Millisecond, Workers: 3, PerS: 5, Directory: t.TempDir(), Out: shown, Log: io.Discard,
				Launcher: cluster.Launcher{Coordinator: startCoordinatorInside, Front: launcher{"info"}.startFront},
			})
		}()
		defer func() { <-ended }()
		select {
		case flags := <-shown.served:
			operate(t, strings.Fields(flags))
		case <-ended:
		}
		<-ended
		So(failed, ShouldBeNil)
		Printf("%+v\n%s", summary, shown.text.String())
		So(summary.Good(), ShouldBeTrue)
	})
}

// operate plays an operator's session.
func operate(t *testing.T, at []string) {
	play := func(code int, says, line string) {
		got, out := runForTest(t, append(strings.Fields(line), at...)...)
		So(out, ShouldContainSubstring, says)
		So(got, ShouldEqual, code)
	}
	play(0, "configuration: version 1", "status")
	play(0, "pricing-2", "searchers --service pricing")
	play(0, "gets no new starts", "drain pricing-2")
	play(0, "operatorDraining", "searchers --service pricing")
	play(0, "gets starts again", "undrain pricing-2")
	play(0, "JOB", "jobs")
	play(exitRefused, "no searcher", "drain nobody")
	play(exitRefused, "no job", "why 0000000000000000")
}
