package main

import (
	"fmt"

	"puffinlink.example/puffinlink/internal/operators/capture"
)

type captureCommand struct {
	Show  captureShowCommand  `command:"show" description:"Summarize a capture. Example: puffinlink capture show /var/lib/puffinlink/capture"`
	Merge captureMergeCommand `command:"merge" description:"Merge the captures of several aggregators. Example: puffinlink capture merge --out all.capture n1 n2 n3"`
	Cut   captureCutCommand   `command:"cut" description:"Extract a time range of a capture. Example: puffinlink capture cut all.capture --from 2026-11-30T08:00:00Z --for 1h --out morning.capture"`
	Synth captureSynthCommand `command:"synth" description:"Generate a capture from a description of a load. Example: puffinlink capture synth load.json5 --out load.capture"`
}

// openCapture reads a capture. It warns on standard error of files that are truncated, and fails if no interval can be read.
func openCapture(path string) (capture.Capture, error) {
	c, truncations, err := capture.Open(path)
	for _, truncation := range truncations {
		fmt.Fprintln(stderr, "puffinlink:", truncation)
	}
	if err == nil && len(c.Intervals) == 0 {
		err = fmt.Errorf("%s: %w", path, errNoInterval)
	}
	return c, err
}

func formatSecondsAsMilliseconds(seconds float64) string { return fmt.Sprintf("%.1f ms", 1000*seconds) }
