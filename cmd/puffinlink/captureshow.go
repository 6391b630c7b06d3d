package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// formatUnixSeconds formats a Unix time in seconds as RFC 3339.
func formatUnixSeconds(seconds float64) string {
	return time.UnixMilli(int64(1000 * seconds)).UTC().Format(time.RFC3339)
}

type captureShowCommand struct {
	JSON      bool `long:"json" description:"Print the summary as JSON."`
	Arguments struct {
		Path string `positional-arg-name:"path" description:"A capture file, or a directory of capture files."`
	} `positional-args:"yes" required:"yes"`
}

func (s *captureShowCommand) Execute([]string) error {
	captured, err := openCapture(s.Arguments.Path)
	if err != nil {
		return err
	}
	summary := captured.Sum()
	if s.JSON {
		return printJSON(summary)
	}
	fmt.Fprintf(stdout, "%d intervals from %s to %s, of mixers %s\n", len(captured.Intervals), formatUnixSeconds(summary.At), formatUnixSeconds(summary.At+summary.Span), strings.Join(summary.Aggregators, ", "))
	for _, gap := range captured.Gaps() {
		fmt.Fprintf(stdout, "hole: nothing from %s to %s\n", formatUnixSeconds(gap.From), formatUnixSeconds(gap.To))
	}
	fmt.Fprintf(stdout, "held %.1f in the mean, %d at most; part calls out %.1f, %d at most\n\n", summary.InFlight.Mean, summary.InFlight.Peak, summary.CallsInFlight.Mean, summary.CallsInFlight.Peak)
	rows := [][]string{}
	format := func(v int64) string { return strconv.FormatInt(v, 10) }
	for _, load := range summary.Loads {
		rows = append(rows, []string{load.Index, load.Customer, format(load.Queries), fmt.Sprintf("%.1f", float64(load.Queries)/summary.Span), fmt.Sprintf("%.1f", float64(load.Parts)/max(1, float64(load.Queries))),
			format(load.Resent), format(load.Ends.Satisfied), format(load.Ends.Late), format(load.Ends.Rejected), format(load.Ends.Aborted), format(load.Ends.Disconnected), format(load.Ends.Full)})
	}
	writeTableWithHeader(stdout, "INDEX CUSTOMER LOOKUPS A-SECOND PARTS RESENT SATISFIED LATE NACKED ABORTED GONE FULL", rows)
	rows = rows[:0]
	for _, index := range summary.Indexes {
		rows = append(rows, []string{index.Index, format(index.Latency.Count()), formatSecondsAsMilliseconds(index.Latency.Quantile(0.5)), formatSecondsAsMilliseconds(index.Latency.Quantile(0.99)), formatSecondsAsMilliseconds(index.Latency.Quantile(1))})
	}
	fmt.Fprintln(stdout)
	writeTableWithHeader(stdout, "INDEX ANSWERED P50 P99 MOST", rows)
	rows = rows[:0]
	for _, backend := range summary.Backends {
		rows = append(rows, []string{backend.Backend, backend.Location, backend.Index, format(backend.Calls), format(backend.Failed), format(backend.Rejected), formatSecondsAsMilliseconds(backend.Latency.Quantile(0.5)), formatSecondsAsMilliseconds(backend.Latency.Quantile(0.99)), formatSecondsAsMilliseconds(backend.Alone.Mean())})
	}
	fmt.Fprintln(stdout)
	writeTableWithHeader(stdout, "SEARCHER LOCATION INDEX CALLS FAILED TURNED-AWAY P50 P99 ALONE", rows)
	return nil
}
