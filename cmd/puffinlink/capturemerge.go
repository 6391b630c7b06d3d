package main

import (
	"time"

	"puffinlink.example/puffinlink/internal/operators/capture"
)

type captureMergeCommand struct {
	Span      time.Duration `long:"span" value-name:"DURATION" default:"10s" description:"Length of an interval."`
	Out       string        `long:"out" value-name:"STRING" required:"yes" description:"The file to write."`
	Arguments struct {
		Paths []string `positional-arg-name:"paths" required:"1" description:"Capture files, or directories of capture files."`
	} `positional-args:"yes" required:"yes"`
}

func (m *captureMergeCommand) Execute([]string) error {
	var all []capture.Capture
	for _, p := range m.Arguments.Paths {
		c, err := openCapture(p)
		if err != nil {
			return err
		}
		all = append(all, c)
	}
	merged, err := capture.Merge(m.Span.Seconds(), all...)
	if err != nil {
		return err
	}
	return capture.Save(m.Out, merged)
}
