// Package demo runs a small deployment on one machine: stand-ins for register, backends and clients, one or more real
// aggregators between them, and a table of what happens. It decides nothing.
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

// Options are what a demo is made of.
type Options struct {
	For              time.Duration // 0 for until it is ended
	Aggregators      int
	Backends         int
	QueriesPerSecond float64       // queries
	Service          time.Duration // mean time of a part
	Directory        string        // where overrides are kept; "" for memory
	JSON             bool          // the summary as JSON, and no table
	Live             bool          // the table is drawn over itself
	Every            time.Duration // between two tables
	Out              io.Writer
	Log              io.Writer // the aggregators' log; nil for none
}

// Summary is what came of a demo.
type Summary struct {
	Seconds   float64          `json:"seconds"`
	Requested int64            `json:"asked"`
	Satisfied int64            `json:"satisfied"`
	Nacked    int64            `json:"nacked"`
	Aborted   int64            `json:"aborted"`
	Lost      int64            `json:"lost"`
	PartCalls map[string]int64 `json:"part_calls"`
}

// width of a shard's holders, and shards a cell.
const width, shardsACell = 2, 2

// site is the demo's deployment.
func site(o Options) fakes.Site {
	return fakes.Site{Zones: []string{"north", "south"}, Cells: o.Backends, CellsPerShard: min(width, o.Backends), Shards: shardsACell * o.Backends,
		Aggregators: o.Aggregators, Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 1},
			{Name: "orders", Effect: "once", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 3}}}
}

type demo struct {
	Options
	site     fakes.Site
	register *fakes.Registry
	backends []*fakes.Backend
	nodes    []*node.Node
	sockets  []string
	load     *fakes.Load
	dir      string
	total    fakes.QueryStats
	last     map[string]int64
}

// Run runs a demo until its time is over or ctx ends. Its error says what could not be started, or that a query was lost.
func Run(ctx context.Context, o Options) (sum Summary, err error) {
	if o.Aggregators < 1 || o.Backends < 2 || o.Backends > 512 || !(o.QueriesPerSecond > 0) || o.Service <= 0 {
		return sum, invalid("got %d mixers, %d searchers, %g lookups a second and a service time of %s; expected at least 1, 2 to 512, and more than none",
			o.Aggregators, o.Backends, o.QueriesPerSecond, o.Service)
	}
	d := &demo{Options: o, site: site(o), last: map[string]int64{}}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return sum, err
	}
	d.printIntroduction()
	if o.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.For)
		defer cancel()
	}
	began := time.Now()
	d.load.Run(ctx)
	for tick := time.NewTicker(o.Every); ctx.Err() == nil; {
		select {
		case <-tick.C:
			d.printTable()
		case <-ctx.Done():
			tick.Stop()
		}
	}
	d.load.Stop()
	seconds := time.Since(began).Seconds()
	d.collect()
	sum = Summary{seconds, d.total.Sent, d.total.Satisfied, d.total.Nacked, d.total.Aborted, d.total.Lost, map[string]int64{}}
	for _, backend := range d.backends {
		sum.PartCalls[backend.Name] = backend.Calls()
	}
	if sum.Lost > 0 {
		err = LostError(sum.Lost)
	}
	return sum, err
}

func (d *demo) start(ctx context.Context) (err error) {
	if d.dir, err = os.MkdirTemp("", "puffinlink-demo-"); err != nil {
		return err
	}
	if d.register, err = fakes.NewRegistry(); err != nil {
		return err
	}
	for i := range d.Backends {
		backend, err := fakes.NewBackend(fmt.Sprintf("s-%d", i+1), d.site.Zones[i%len(d.site.Zones)], i, 8, d.Service)
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
		n, address, err := d.aggregator(ctx, i, log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.load.Aggregators = append(d.load.Aggregators, address)
	}
	return nil
}

// aggregator starts one as it would be started alone, on a port that was free a moment ago.
func (d *demo) aggregator(ctx context.Context, i int, log *zap.Logger) (*node.Node, string, error) {
	address, err := fakes.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	name := fmt.Sprintf("n%d", i+1)
	file := operatorfile.Defaults()
	file.Overrides.On = true
	if d.Directory != "" {
		file.Overrides.Directory = filepath.Join(d.Directory, name)
	}
	file.Operators.Listen = "unix:" + filepath.Join(d.dir, name+".sock")
	d.sockets = append(d.sockets, file.Operators.Listen)
	n, err := node.StartText(ctx, d.site.Config(name, address, d.register, i), file, log.With(zap.String("mixer", name)), counters.New())
	return n, address, err
}

func (d *demo) printIntroduction() {
	if d.JSON {
		return
	}
	fmt.Fprintf(d.Out, "%d mixers, %d searchers that hold %d shards, each at %d of them; %g lookups a second.\nFrom a second terminal:\n",
		d.Aggregators, d.Backends, d.site.Shards, d.site.CellsPerShard, d.QueriesPerSecond)
	for _, s := range d.sockets {
		fmt.Fprintf(d.Out, "  bin/puffinlink override set weight s-1 --weight 0.25 --for 1m --reason 'a try' --at %s\n", s)
	}
	fmt.Fprintln(d.Out)
}

// collect adds what came of queries since the last time.
func (d *demo) collect() fakes.QueryStats {
	t := d.load.TakeStats()
	d.total.Add(t)
	return t
}

func (d *demo) printTable() {
	t := d.collect()
	if d.JSON {
		return
	}
	if d.Live {
		fmt.Fprint(d.Out, "\x1b[H\x1b[2J")
		d.printIntroduction()
	}
	per := d.Every.Seconds()
	fmt.Fprintf(d.Out, "%s  satisfied %.0f/s  nacked %.0f/s  aborted %.0f/s  lost %d  p50 %s  p99 %s\n", time.Now().Format(time.TimeOnly),
		float64(t.Satisfied)/per, float64(t.Nacked)/per, float64(t.Aborted)/per, t.Lost, t.P50.Round(100*time.Microsecond), t.P99.Round(100*time.Microsecond))
	w := tabwriter.NewWriter(d.Out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SEARCHER\tLOCATION\tPART CALLS/S\tOUT AT MOST\t")
	for _, s := range d.backends {
		calls := s.Calls()
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t\n", s.Name, s.Zone, float64(calls-d.last[s.Name])/per, s.MaxInFlight())
		d.last[s.Name] = calls
	}
	w.Flush()
	fmt.Fprintln(d.Out)
}

func (d *demo) close() {
	for _, n := range d.nodes {
		n.Stop()
	}
	for _, s := range d.backends {
		s.Kill()
	}
	if d.register != nil {
		d.register.Close()
	}
	_ = os.RemoveAll(d.dir) // sockets in the system's directory for what is passing: nothing depends on it
}

// Print shows a summary to people.
func (s Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "%.0f s: %d lookups, %d satisfied, %d nacked, %d aborted, %d lost\n", s.Seconds, s.Requested, s.Satisfied, s.Nacked, s.Aborted, s.Lost)
}
