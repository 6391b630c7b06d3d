package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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
