// Package demo runs a small deployment of the aggregator on one machine: one or more real aggregators, with fake backends,
// clients and register. It prints a table of the queries and calls at regular intervals, and returns a summary. The package
// itself contains no scheduling logic. The demo command calls it.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/asynclog"
	"puffinlink.example/puffinlink/internal/dataplane/node"
	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// Options configure a demo.
type Options struct {
	Duration          time.Duration // 0 means until the context ends
	Aggregators       int
	Backends          int
	QueriesPerSecond  float64
	ServiceTime       time.Duration // mean processing time of a subquery
	OverrideDirectory string        // directory for stored overrides; "" keeps them in memory
	JSON              bool          // print no table; the caller prints the summary as JSON
	Redraw            bool          // clear the screen before each table
	TableInterval     time.Duration // time between two tables
	Out               io.Writer
	Log               io.Writer // destination of the aggregators' logs; nil discards them
}

// Summary contains the totals of a demo.
type Summary struct {
	Seconds   float64          `json:"seconds"`
	Queries   int64            `json:"asked"`
	Satisfied int64            `json:"satisfied"`
	Nacked    int64            `json:"nacked"`
	Aborted   int64            `json:"aborted"`
	Lost      int64            `json:"lost"`
	PartCalls map[string]int64 `json:"part_calls"`
}

const (
	// replicasPerShard is the number of cells that hold each shard.
	replicasPerShard = 2
	// shardsPerCell is the number of shards divided by the number of cells.
	shardsPerCell = 2
)

// newSite returns the description of the demo's deployment, with one cell for each backend.
func newSite(options Options) fakes.Site {
	return fakes.Site{Zones: []string{"north", "south"}, Cells: options.Backends, CellsPerShard: min(replicasPerShard, options.Backends), Shards: shardsPerCell * options.Backends,
		Aggregators: options.Aggregators, Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 1},
			{Name: "orders", Effect: "once", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 3}}}
}

// demo is the state of a running demo.
type demo struct {
	Options
	site              fakes.Site
	register          *fakes.Registry
	backends          []*fakes.Backend
	nodes             []*node.Node
	operatorAddresses []string
	load              *fakes.Load
	socketDirectory   string
	total             fakes.QueryStats
	previousCalls     map[string]int64
}

// Run runs a demo for its duration or until ctx ends. It returns an error if the options are invalid or a process cannot be
// started, and a LostError if a query had no final answer.
func Run(ctx context.Context, options Options) (summary Summary, err error) {
	if options.Aggregators < 1 || options.Backends < 2 || options.Backends > 512 || !(options.QueriesPerSecond > 0) || options.ServiceTime <= 0 {
		return summary, invalid("got %d mixers, %d searchers, %g lookups a second and a service time of %s; expected at least 1, 2 to 512, and more than none",
			options.Aggregators, options.Backends, options.QueriesPerSecond, options.ServiceTime)
	}
	d := &demo{Options: options, site: newSite(options), previousCalls: map[string]int64{}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return summary, err
	}
	d.printIntroduction()
	if options.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, options.Duration)
		defer cancel()
	}
	began := time.Now()
	d.load.Run(ctx)
	for ticker := time.NewTicker(options.TableInterval); ctx.Err() == nil; {
		select {
		case <-ticker.C:
			d.printTable()
		case <-ctx.Done():
			ticker.Stop()
		}
	}
	d.load.Stop()
	seconds := time.Since(began).Seconds()
	d.collect()
	summary = Summary{seconds, d.total.Sent, d.total.Satisfied, d.total.Nacked, d.total.Aborted, d.total.Lost, map[string]int64{}}
	for _, backend := range d.backends {
		summary.PartCalls[backend.Name] = backend.Calls()
	}
	if summary.Lost > 0 {
		err = LostError(summary.Lost)
	}
	return summary, err
}

// start starts the fake register, the fake backends and the aggregators, and prepares the load.
func (d *demo) start(ctx context.Context) (err error) {
	if d.socketDirectory, err = os.MkdirTemp("", "puffinlink-demo-"); err != nil {
		return err
	}
	if d.register, err = fakes.NewRegistry(); err != nil {
		return err
	}
	for i := range d.Backends {
		backend, err := fakes.NewBackend(fmt.Sprintf("s-%d", i+1), d.site.Zones[i%len(d.site.Zones)], i, 8, d.ServiceTime)
		if err != nil {
			return err
		}
		d.backends = append(d.backends, backend)
		d.register.Set(backend.Entry("SERVING", true))
	}
	log := zap.NewNop()
	if d.Log != nil {
		log = asynclog.New(zapcore.Lock(zapcore.AddSync(d.Log)))
	}
	d.load = &fakes.Load{Site: d.site, QueriesPerSecond: d.QueriesPerSecond, Mixes: []fakes.Mix{{Index: "reads", Share: 0.9, Subqueries: 4, Deadline: 2 * time.Second},
		{Index: "orders", Share: 0.1, Subqueries: 2, Deadline: 2 * time.Second}}}
	for i := range d.Aggregators {
		aggregator, address, err := d.startAggregator(ctx, i, log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, aggregator)
		d.load.Aggregators = append(d.load.Aggregators, address)
	}
	return nil
}

// startAggregator starts the i-th aggregator with the configuration of a standalone process, and returns its address. The
// port was free when it was chosen; another process may take it before the aggregator listens.
func (d *demo) startAggregator(ctx context.Context, i int, log *zap.Logger) (*node.Node, string, error) {
	address, err := fakes.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	name := fmt.Sprintf("n%d", i+1)
	file := operatorfile.Defaults()
	file.Overrides.On = true
	if d.OverrideDirectory != "" {
		file.Overrides.Directory = filepath.Join(d.OverrideDirectory, name)
	}
	file.Operators.Listen = "unix:" + filepath.Join(d.socketDirectory, name+".sock")
	d.operatorAddresses = append(d.operatorAddresses, file.Operators.Listen)
	started, err := node.StartText(ctx, d.site.Config(name, address, d.register, i), file, log.With(zap.String("mixer", name)), counters.New())
	return started, address, err
}

func (d *demo) printIntroduction() {
	if d.JSON {
		return
	}
	fmt.Fprintf(d.Out, "%d mixers, %d searchers that hold %d shards, each at %d of them; %g lookups a second.\nFrom a second terminal:\n",
		d.Aggregators, d.Backends, d.site.Shards, d.site.CellsPerShard, d.QueriesPerSecond)
	for _, address := range d.operatorAddresses {
		fmt.Fprintf(d.Out, "  bin/puffinlink override set weight s-1 --weight 0.25 --for 1m --reason 'a try' --at %s\n", address)
	}
	fmt.Fprintln(d.Out)
}

// collect returns the results of queries since the last call, and adds them to the total.
func (d *demo) collect() fakes.QueryStats {
	tally := d.load.TakeStats()
	d.total.Add(tally)
	return tally
}

func (d *demo) printTable() {
	tally := d.collect()
	if d.JSON {
		return
	}
	if d.Redraw {
		fmt.Fprint(d.Out, "\x1b[H\x1b[2J")
		d.printIntroduction()
	}
	seconds := d.TableInterval.Seconds()
	fmt.Fprintf(d.Out, "%s  satisfied %.0f/s  nacked %.0f/s  aborted %.0f/s  lost %d  p50 %s  p99 %s\n", time.Now().Format(time.TimeOnly),
		float64(tally.Satisfied)/seconds, float64(tally.Nacked)/seconds, float64(tally.Aborted)/seconds, tally.Lost, tally.P50.Round(100*time.Microsecond), tally.P99.Round(100*time.Microsecond))
	w := tabwriter.NewWriter(d.Out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SEARCHER\tLOCATION\tPART CALLS/S\tOUT AT MOST\t")
	for _, backend := range d.backends {
		calls := backend.Calls()
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t\n", backend.Name, backend.Zone, float64(calls-d.previousCalls[backend.Name])/seconds, backend.MaxInFlight())
		d.previousCalls[backend.Name] = calls
	}
	w.Flush()
	fmt.Fprintln(d.Out)
}

func (d *demo) close() {
	for _, aggregator := range d.nodes {
		aggregator.Stop()
	}
	for _, backend := range d.backends {
		backend.Kill()
	}
	if d.register != nil {
		d.register.Close()
	}
	_ = os.RemoveAll(d.socketDirectory) // the error is ignored: only sockets in the system's directory for temporary files remain
}

// Print writes the summary as a line of text.
func (s Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "%.0f s: %d lookups, %d satisfied, %d nacked, %d aborted, %d lost\n", s.Seconds, s.Queries, s.Satisfied, s.Nacked, s.Aborted, s.Lost)
}
