package main

import (
	"time"

	"puffinlink.example/puffinlink/internal/operators/capture"
)

type captureCutCommand struct {
	From      timeFlag      `long:"from" value-name:"TIME" required:"yes" description:"Start of the range, for example 2026-11-30T08:00:00Z."`
	For       time.Duration `long:"for" value-name:"DURATION" required:"yes" description:"Length of the range, for example 1h."`
	Out       string        `long:"out" value-name:"STRING" required:"yes" description:"The file to write."`
	Arguments struct {
		Path string `positional-arg-name:"path" description:"A capture file, or a directory of capture files."`
	} `positional-args:"yes" required:"yes"`
}

func (m *captureCutCommand) Execute([]string) error {
	c, err := openCapture(m.Arguments.Path)
	if err != nil {
		return err
	}
	from := float64(m.From.UnixMilli()) / 1000
	if c, err = c.Between(from, from+m.For.Seconds()); err != nil {
		return err
	}
	return capture.Save(m.Out, c)
}
