// Package planfile reads a fleet's description, JSON with comments, and puts a capture's load beside it. Mistakes are
// told with the line where the file can't be read, and with what to do where it can.
package planfile

import (
	"fmt"
	"os"
	"strings"

	"puffinlink.example/puffinlink/internal/jsonc"
	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/internal/tools/plan"
	"puffinlink.example/puffinlink/policy"
)

// file is the form. Times are seconds.
type file struct {
	Locations []string `json:"locations"`
	Layout    struct {
		Cells  int `json:"cells"`
		Width  int `json:"width"`
		Shards int `json:"shards"`
	} `json:"layout"`
	Backends []backendGroup `json:"searchers"`
	Indexes  []struct {
		Name     string  `json:"name"`
		Effect   string  `json:"effect"`
		SoftS    float64 `json:"soft_s"`
		HardS    float64 `json:"hard_s"`
		Gain     float64 `json:"gain"`
		LateGain float64 `json:"late_gain"`
		WorkS    float64 `json:"work_s"`
		WorkScv  float64 `json:"work_scv"`
		Goal     float64 `json:"goal"`
	} `json:"indexes"`
	Aggregators struct {
		Count       int     `json:"count"`
		MaxPending  int     `json:"most_held"`
		StepS       float64 `json:"step_s"`
		MostTries   int     `json:"most_tries"`
		Multiplex   int     `json:"multiplex"`
		Descriptors int     `json:"descriptors"`
	} `json:"mixers"`
	Clients struct {
		Retries  int     `json:"retries"`
		BackoffS float64 `json:"backoff_s"`
	} `json:"clients"`
	NetworkS float64 `json:"network_s"`
}

// backendGroup is backends that are alike but for name and cell: {n} in the name is their number, and cells count up from the
// first.
type backendGroup struct {
	Name        string  `json:"name"`
	Count       int     `json:"count"`
	Location    string  `json:"location"`
	Cell        int     `json:"cell"`
	CellStep    int     `json:"cell_step"`
	Cores       int     `json:"cores"`
	Speed       float64 `json:"speed"`
	Queue       int     `json:"queue"`
	Connections int     `json:"connections"`
	Price       float64 `json:"price"`
}

var effects = map[string]policy.Effect{"": policy.Idempotent, "idempotent": policy.Idempotent, "fingerprinted": policy.Deduplicated, "once-only": policy.AtMostOnce}

// maxBackends is ten times the largest fleet that a plan is made for.
const maxBackends = 10000

// ReadFile reads and checks a description. work may be left out where a capture tells it: Fill comes before Check then.
func ReadFile(path string) (f plan.Site, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	if f, err = Parse(text); err != nil {
		return f, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

// Parse reads a description; its figures are not checked yet.
func Parse(text []byte) (site plan.Site, err error) {
	var parsed file
	if err := jsonc.Decode(text, &parsed); err != nil {
		return site, err
	}
	site = plan.Site{Locations: parsed.Locations, Cells: parsed.Layout.Cells, Width: parsed.Layout.Width, Shards: parsed.Layout.Shards, Aggregators: parsed.Aggregators.Count,
		MaxPending: parsed.Aggregators.MaxPending, Step: parsed.Aggregators.StepS, Network: parsed.NetworkS, MaxAttempts: max(1, parsed.Aggregators.MostTries), Retries: parsed.Clients.Retries,
		Backoff: parsed.Clients.BackoffS, Multiplex: parsed.Aggregators.Multiplex, Descriptors: parsed.Aggregators.Descriptors}
	for _, group := range parsed.Backends {
		if group.Speed == 0 {
			group.Speed = 1
		}
		for n := range max(1, group.Count) {
			if len(site.Backends) >= maxBackends {
				return site, wrong("1: more than %d searchers", maxBackends)
			}
			cell := group.Cell + n*group.CellStep
			if site.Cells > 0 {
				cell %= site.Cells
			}
			site.Backends = append(site.Backends, plan.Backend{Name: strings.ReplaceAll(group.Name, "{n}", fmt.Sprint(n+1)), Location: group.Location,
				Cell: cell, Cores: group.Cores, Speed: group.Speed, Queue: group.Queue, Connections: group.Connections, Price: group.Price})
		}
	}
	for _, index := range parsed.Indexes {
		effect, known := effects[index.Effect]
		if !known {
			return site, wrong("1: index %s has effect %q, expected idempotent, fingerprinted or once-only", index.Name, index.Effect)
		}
		site.Indexes = append(site.Indexes, plan.Index{Name: index.Name, Effect: effect, Soft: index.SoftS, Hard: index.HardS, Value: index.Gain, LateValue: index.LateGain, Work: index.WorkS, Scv: index.WorkScv, Goal: index.Goal})
	}
	return site, nil
}

// leastAlone is how many calls that were alone at their backend it takes to read an index's work from them.
const leastAlone = 200

// Fill takes the work of a part from a capture where the description leaves it out: from calls that found nothing else of
// their aggregator at the backend, less the network's two ways. It tells what it took, and what it could not.
func Fill(f *plan.Site, c *capture.Interval) (notes []string, err error) {
	for k := range f.Indexes {
		x := &f.Indexes[k]
		if x.Work > 0 {
			continue
		}
		var alone capture.Histogram
		n := int64(0)
		for _, s := range c.Backends {
			if s.Index == x.Name {
				n += s.Alone.Count()
				alone.Merge(s.Alone)
			}
		}
		if n < leastAlone {
			return notes, wrong("index %s: only %d part calls of the capture were alone at their searcher, %d are needed to read a part's work: capture a quiet hour, or state work_s", x.Name, n, leastAlone)
		}
		mean, scv := alone.Moments()
		x.Work, x.Scv = max(mean-2*f.Network, mean/10), scv
		x.Shape = shape(alone, 2*f.Network)
		notes = append(notes, fmt.Sprintf("index %s: %.2f ms of work a part, read from %d calls that were alone", x.Name, 1000*x.Work, n))
	}
	return notes, nil
}

// quantiles of a shape: as many as a thousand calls tell apart.
const quantiles = 41

// shape is the quantiles of some times, less what is no work, against their own mean as they are drawn.
func shape(h capture.Histogram, less float64) (list []float64) {
	sum := 0.0
	for i := range quantiles {
		list = append(list, max(0, h.Quantile(float64(i)/(quantiles-1))-less))
		if i > 0 {
			sum += (list[i] + list[i-1]) / 2 / (quantiles - 1)
		}
	}
	if sum <= 0 {
		return nil
	}
	for i := range list {
		list[i] /= sum
	}
	return list
}

// Workload is the load of a capture at its busiest interval, or in the mean of all of them, whose sum is given as a day's takes a
// while. The notes say what was left out.
func Workload(site *plan.Site, c capture.Capture, sum *capture.Interval, mean bool) (workload plan.Workload, notes []string, err error) {
	if len(c.Intervals) == 0 {
		return workload, nil, wrong("the capture holds no interval")
	}
	interval := sum
	if !mean {
		interval = busiest(c, sum)
	}
	for _, gap := range c.Gaps() {
		notes = append(notes, fmt.Sprintf("nothing was captured for %.0f s: what happened then is not in the plan", gap.To-gap.From))
	}
	queries := 0.0
	for _, load := range interval.Loads {
		queries += float64(load.Queries - load.Resent)
	}
	indexNo := map[string]int{}
	for index, described := range site.Indexes {
		indexNo[described.Name] = index
	}
	byIndex := map[int][2]float64{}
	for _, load := range interval.Loads {
		index, known := indexNo[load.Index]
		if !known {
			return workload, notes, wrong("the capture has lookups of index %s, which the fleet does not describe: add it", load.Index)
		}
		totals := byIndex[index]
		byIndex[index] = [2]float64{totals[0] + float64(load.Queries-load.Resent), totals[1] + float64(load.Parts)*float64(load.Queries-load.Resent)/float64(max(1, load.Queries))}
	}
	if queries <= 0 {
		return workload, notes, wrong("the capture holds no lookups")
	}
	workload.QueriesPerSecond = queries / interval.Span
	for index := range site.Indexes {
		if totals := byIndex[index]; totals[0] > 0 {
			workload.Mix = append(workload.Mix, plan.Share{Index: index, Fraction: totals[0] / queries, Subqueries: max(1, int(totals[1]/totals[0]+0.5))})
		}
	}
	workload.Popular = make([]float64, site.Shards)
	for _, shard := range sum.Shards {
		if shard.Shard >= site.Shards {
			return workload, notes, wrong("the capture asks for shard %d, the fleet holds %d: describe the fleet that the capture was taken on", shard.Shard, site.Shards)
		}
		workload.Popular[shard.Shard] += float64(shard.Parts)
	}
	return workload, notes, workload.Check(site)
}

// busiest is the interval of a capture with the most part calls a second, or otherwise where no interval has a rate.
func busiest(c capture.Capture, otherwise *capture.Interval) *capture.Interval {
	best, interval := -1.0, otherwise
	for n := range c.Intervals {
		parts := 0.0
		for _, load := range c.Intervals[n].Loads {
			parts += float64(load.Parts) / c.Intervals[n].Span
		}
		if parts > best {
			best, interval = parts, &c.Intervals[n]
		}
	}
	return interval
}
