package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/jsonc"
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

func formatSeconds(at float64) string {
	return time.UnixMilli(int64(1000 * at)).UTC().Format(time.RFC3339)
}

type captureShowCommand struct {
	JSON      bool `long:"json" description:"Print the summary as JSON."`
	Arguments struct {
		Path string `positional-arg-name:"path" description:"A capture file, or a directory of capture files."`
	} `positional-args:"yes" required:"yes"`
}

func (s *captureShowCommand) Execute([]string) error {
	c, err := openCapture(s.Arguments.Path)
	if err != nil {
		return err
	}
	sum := c.Sum()
	if s.JSON {
		return printJSON(sum)
	}
	fmt.Fprintf(stdout, "%d intervals from %s to %s, of mixers %s\n", len(c.Intervals), formatSeconds(sum.At), formatSeconds(sum.At+sum.Span), strings.Join(sum.Aggregators, ", "))
	for _, h := range c.Gaps() {
		fmt.Fprintf(stdout, "hole: nothing from %s to %s\n", formatSeconds(h.From), formatSeconds(h.To))
	}
	fmt.Fprintf(stdout, "held %.1f in the mean, %d at most; part calls out %.1f, %d at most\n\n", sum.InFlight.Mean, sum.InFlight.Most, sum.CallsInFlight.Mean, sum.CallsInFlight.Most)
	rows := [][]string{}
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	for _, l := range sum.Loads {
		rows = append(rows, []string{l.Index, l.Customer, n(l.Queries), fmt.Sprintf("%.1f", float64(l.Queries)/sum.Span), fmt.Sprintf("%.1f", float64(l.Parts)/max(1, float64(l.Queries))),
			n(l.Resent), n(l.Ends.Satisfied), n(l.Ends.Late), n(l.Ends.Nacked), n(l.Ends.Aborted), n(l.Ends.Disconnected), n(l.Ends.Full)})
	}
	table(stdout, "INDEX CUSTOMER LOOKUPS A-SECOND PARTS RESENT SATISFIED LATE NACKED ABORTED GONE FULL", rows)
	rows = rows[:0]
	for _, x := range sum.Indexes {
		rows = append(rows, []string{x.Index, n(x.Latency.Count()), formatMilliseconds(x.Latency.Quantile(0.5)), formatMilliseconds(x.Latency.Quantile(0.99)), formatMilliseconds(x.Latency.Quantile(1))})
	}
	fmt.Fprintln(stdout)
	table(stdout, "INDEX ANSWERED P50 P99 MOST", rows)
	rows = rows[:0]
	for _, x := range sum.Backends {
		rows = append(rows, []string{x.Backend, x.Location, x.Index, n(x.Calls), n(x.Failed), n(x.Rejected), formatMilliseconds(x.Latency.Quantile(0.5)), formatMilliseconds(x.Latency.Quantile(0.99)), formatMilliseconds(x.Alone.Mean())})
	}
	fmt.Fprintln(stdout)
	table(stdout, "SEARCHER LOCATION INDEX CALLS FAILED TURNED-AWAY P50 P99 ALONE", rows)
	return nil
}

func formatMilliseconds(s float64) string { return fmt.Sprintf("%.1f ms", 1000*s) }

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

type captureSynthCommand struct {
	Out       string `long:"out" value-name:"STRING" required:"yes" description:"The file to write."`
	Arguments struct {
		File string `positional-arg-name:"file" description:"Description of the load; see docs/operators/planning.md."`
	} `positional-args:"yes" required:"yes"`
}

// synthFile is the form of a stated load.
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
	f := synthFile{IntervalS: 10}
	if err := jsonc.Decode(text, &f); err != nil {
		return fmt.Errorf("%s:%w", m.Arguments.File, err)
	}
	s := capture.Synth{For: f.LastsS, Span: f.IntervalS, PerS: f.QueriesPerSecond, Shards: f.Shards, Skew: f.Skew, Day: f.Day, MonthEnd: f.MonthEndFactor, Seed: f.Seed}
	if !f.Begins.IsZero() {
		s.At = float64(f.Begins.UnixMilli()) / 1000
	}
	for _, x := range f.Indexes {
		s.Indexes = append(s.Indexes, capture.SynthIndex{Index: x.Index, Customer: x.Customer, Share: x.Share, Parts: x.Parts, Hint: x.HintS})
	}
	for _, b := range f.Bursts {
		s.Bursts = append(s.Bursts, capture.Burst{From: b.FromS, For: b.ForS, Factor: b.Factor})
	}
	var c capture.Capture
	if err := s.Make(func(i *capture.Interval) error { c.Intervals = append(c.Intervals, *i); return nil }); err != nil {
		return fmt.Errorf("%s: %w", m.Arguments.File, err)
	}
	return capture.Save(m.Out, c)
}
