package main

import (
	"fmt"
	"os"
	"time"

	"puffinlink.example/puffinlink/internal/jsonc"
	"puffinlink.example/puffinlink/internal/operators/capture"
)

type captureSynthCommand struct {
	Out       string `long:"out" value-name:"STRING" required:"yes" description:"The file to write."`
	Arguments struct {
		File string `positional-arg-name:"file" description:"Description of the load; see docs/operators/planning.md."`
	} `positional-args:"yes" required:"yes"`
}

// synthFile is the format of the file that describes a load to generate.
type synthFile struct {
	Begins           time.Time `json:"begins"`
	LastsS           float64   `json:"lasts_s"`
	IntervalS        float64   `json:"interval_s"`
	QueriesPerSecond float64   `json:"lookups_per_s"`
	Shards           int       `json:"shards"`
	Skew             float64   `json:"skew"`
	Day              []float64 `json:"day"`
	MonthEndFactor   float64   `json:"month_end_factor"`
	Seed             uint64    `json:"seed"`
	Indexes          []struct {
		Index    string  `json:"index"`
		Customer string  `json:"customer"`
		Share    float64 `json:"share"`
		Parts    int     `json:"parts"`
		HintS    float64 `json:"hint_s"`
	} `json:"indexes"`
	Bursts []struct {
		FromS  float64 `json:"from_s"`
		ForS   float64 `json:"for_s"`
		Factor float64 `json:"factor"`
	} `json:"bursts"`
}

func (m *captureSynthCommand) Execute([]string) error {
	text, err := os.ReadFile(m.Arguments.File)
	if err != nil {
		return err
	}
	file := synthFile{IntervalS: 10}
	if err := jsonc.Decode(text, &file); err != nil {
		return fmt.Errorf("%s:%w", m.Arguments.File, err)
	}
	synth := capture.SyntheticLoad{Duration: file.LastsS, Span: file.IntervalS, QueriesPerSecond: file.QueriesPerSecond, Shards: file.Shards, Skew: file.Skew, DayFactors: file.Day, MonthEndFactor: file.MonthEndFactor, Seed: file.Seed}
	if !file.Begins.IsZero() {
		synth.Start = float64(file.Begins.UnixMilli()) / 1000
	}
	for _, index := range file.Indexes {
		synth.Indexes = append(synth.Indexes, capture.SyntheticIndex{Index: index.Index, Customer: index.Customer, Share: index.Share, Parts: index.Parts, Hint: index.HintS})
	}
	for _, burst := range file.Bursts {
		synth.Bursts = append(synth.Bursts, capture.Burst{From: burst.FromS, Duration: burst.ForS, Factor: burst.Factor})
	}
	var c capture.Capture
	if err := synth.Generate(func(i *capture.Interval) error { c.Intervals = append(c.Intervals, *i); return nil }); err != nil {
		return fmt.Errorf("%s: %w", m.Arguments.File, err)
	}
	return capture.Save(m.Out, c)
}
