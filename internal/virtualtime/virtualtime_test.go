package virtualtime

import (
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// Many goroutines poll timers that are due at the same time. Without the processor limit this crashes the process under the
// race detector.
func TestSimultaneousTimersDoNotCrashTheRaceDetector(t *testing.T) {
	const goroutines, rounds = 64, 400
	Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				for range rounds {
					waited, looked := time.NewTimer(time.Millisecond), time.NewTimer(time.Millisecond)
					<-waited.C
					select {
					case <-looked.C:
					default:
						t.Error("a timer that is due does not fire")
					}
				}
			})
		}
		all.Wait()
	})
}

func TestProcessorLimitLastsUntilTheLastBubbleEnds(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	var limit processorLimit
	limit.limit()
	limit.limit()
	limit.release()
	if now := runtime.GOMAXPROCS(0); now != 1 {
		t.Errorf("%d processors while a bubble runs", now)
	}
	limit.release()
	if now := runtime.GOMAXPROCS(0); now != before {
		t.Errorf("%d processors after the last bubble, %d before", now, before)
	}
	Test(t, func(t *testing.T) {
		if now := runtime.GOMAXPROCS(0); raceflag.Enabled && now != 1 {
			t.Errorf("%d processors in a bubble", now)
		}
	})
}

// Every test in a bubble must go through this package, since a bubble without the processor limit can crash the process
// under the race detector.
func TestOnlyThisPackageStartsBubbles(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if strings.Contains(string(text), "synctest."+"Test(") {
			t.Errorf("%s starts a bubble without virtualtime.Test", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
