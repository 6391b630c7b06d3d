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
	for _, hole := range c.Gaps() {
		fmt.Fprintf(stdout, "hole: nothing from %s to %s\n", formatSeconds(hole.From), formatSeconds(hole.To))
	}
	fmt.Fprintf(stdout, "held %.1f in the mean, %d at most; part calls out %.1f, %d at most\n\n", sum.InFlight.Mean, sum.InFlight.Peak, sum.CallsInFlight.Mean, sum.CallsInFlight.Peak)
	rows := [][]string{}
	format := func(v int64) string { return strconv.FormatInt(v, 10) }
	for _, load := range sum.Loads {
		rows = append(rows, []string{load.Index, load.Customer, format(load.Queries), fmt.Sprintf("%.1f", float64(load.Queries)/sum.Span), fmt.Sprintf("%.1f", float64(load.Parts)/max(1, float64(load.Queries))),
			format(load.Resent), format(load.Ends.Satisfied), format(load.Ends.Late), format(load.Ends.Nacked), format(load.Ends.Aborted), format(load.Ends.Disconnected), format(load.Ends.Full)})
	}
	table(stdout, "INDEX CUSTOMER LOOKUPS A-SECOND PARTS RESENT SATISFIED LATE NACKED ABORTED GONE FULL", rows)
	rows = rows[:0]
	for _, x := range sum.Indexes {
		rows = append(rows, []string{x.Index, format(x.Latency.Count()), formatMilliseconds(x.Latency.Quantile(0.5)), formatMilliseconds(x.Latency.Quantile(0.99)), formatMilliseconds(x.Latency.Quantile(1))})
	}
	fmt.Fprintln(stdout)
	table(stdout, "INDEX ANSWERED P50 P99 MOST", rows)
	rows = rows[:0]
	for _, x := range sum.Backends {
		rows = append(rows, []string{x.Backend, x.Location, x.Index, format(x.Calls), format(x.Failed), format(x.Rejected), formatMilliseconds(x.Latency.Quantile(0.5)), formatMilliseconds(x.Latency.Quantile(0.99)), formatMilliseconds(x.Alone.Mean())})
	}
	fmt.Fprintln(stdout)
	table(stdout, "SEARCHER LOCATION INDEX CALLS FAILED TURNED-AWAY P50 P99 ALONE", rows)
	return nil
}
