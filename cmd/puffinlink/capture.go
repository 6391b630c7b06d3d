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

// openCapture reads a capture, and tells where it is cut off.
func openCapture(path string) (capture.Capture, error) {
	c, cuts, err := capture.Open(path)
	for _, cut := range cuts {
		fmt.Fprintln(stderr, "puffinlink:", cut)
	}
	if err == nil && len(c.Intervals) == 0 {
		err = fmt.Errorf("%s: %w", path, errNoInterval)
	}
	return c, err
}

func formatMilliseconds(s float64) string { return fmt.Sprintf("%.1f ms", 1000*s) }
