// Package planfile reads the description of a deployment, a file of JSON with comments, and derives the workload from a
// capture of real traffic. Syntax errors are returned with their line, and errors of content with a remedy. The plan commands
// call it; it never writes a file.
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

// file is the format of a description. Times are in seconds.
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

// backendGroup describes backends that differ only in name and cell. {n} in the name is replaced by the backend's number,
// which starts at 1. The cell increases by cell_step from one backend to the next, modulo the number of cells.
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

// effects maps the names of effects in a description to the policy's values.
var effects = map[string]policy.Effect{"": policy.Idempotent, "idempotent": policy.Idempotent, "fingerprinted": policy.Deduplicated, "once-only": policy.AtMostOnce}

// maxBackends is the maximum number of backends in a description, ten times the largest deployment that is planned for.
const maxBackends = 10000

// ReadFile reads the description at path. It does not check the figures: the caller calls Site.Check, after FillWork if the
// description omits an index's work.
func ReadFile(path string) (site plan.Site, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return site, err
	}
	if site, err = Parse(text); err != nil {
		return site, fmt.Errorf("%s:%w", path, err)
	}
	return site, nil
}

// Parse decodes a description. It does not check the figures.
func Parse(text []byte) (site plan.Site, err error) {
	var parsed file
	if err := jsonc.Decode(text, &parsed); err != nil {
		return site, err
	}
	site = plan.Site{Locations: parsed.Locations, Cells: parsed.Layout.Cells, Width: parsed.Layout.Width, Shards: parsed.Layout.Shards, Aggregators: parsed.Aggregators.Count,
		MaxPending: parsed.Aggregators.MaxPending, StepInterval: parsed.Aggregators.StepS, NetworkDelay: parsed.NetworkS, MaxAttempts: max(1, parsed.Aggregators.MostTries), Retries: parsed.Clients.Retries,
		Backoff: parsed.Clients.BackoffS, CallsPerConnection: parsed.Aggregators.Multiplex, FileDescriptors: parsed.Aggregators.Descriptors}
	for _, group := range parsed.Backends {
		if group.Speed == 0 {
			group.Speed = 1
		}
		for offset := range max(1, group.Count) {
			if len(site.Backends) >= maxBackends {
				return site, invalid("1: more than %d searchers", maxBackends)
			}
			cell := group.Cell + offset*group.CellStep
			if site.Cells > 0 {
				cell %= site.Cells
			}
			site.Backends = append(site.Backends, plan.Backend{Name: strings.ReplaceAll(group.Name, "{n}", fmt.Sprint(offset+1)), Location: group.Location,
				Cell: cell, Cores: group.Cores, Speed: group.Speed, Queue: group.Queue, Connections: group.Connections, Price: group.Price})
		}
	}
	for _, index := range parsed.Indexes {
		effect, known := effects[index.Effect]
		if !known {
			return site, invalid("1: index %s has effect %q, expected idempotent, fingerprinted or once-only", index.Name, index.Effect)
		}
		site.Indexes = append(site.Indexes, plan.Index{Name: index.Name, Effect: effect, Soft: index.SoftS, Hard: index.HardS, Value: index.Gain, LateValue: index.LateGain, Work: index.WorkS, WorkSCV: index.WorkScv, Goal: index.Goal})
	}
	return site, nil
}

// minUncontendedCalls is the minimum number of uncontended calls from which the work of an index is estimated.
const minUncontendedCalls = 200

// FillWork estimates the work of each index that the description omits from sum, the sum of a capture. It uses the
// uncontended calls, those sent while the aggregator had no other call at the backend, and subtracts the network delay in
// both directions. The notes name the indexes that were estimated. An index with too few uncontended calls is an error.
func FillWork(site *plan.Site, sum *capture.Interval) (notes []string, err error) {
	for i := range site.Indexes {
		index := &site.Indexes[i]
		if index.Work > 0 {
			continue
		}
		var uncontended capture.Histogram
		calls := int64(0)
		for _, backendLoad := range sum.Backends {
			if backendLoad.Index == index.Name {
				calls += backendLoad.Alone.Count()
				uncontended.Merge(backendLoad.Alone)
			}
		}
		if calls < minUncontendedCalls {
			return notes, invalid("index %s: only %d part calls of the capture were alone at their searcher, %d are needed to read a part's work: capture a quiet hour, or state work_s", index.Name, calls, minUncontendedCalls)
		}
		mean, scv := uncontended.Moments()
		index.Work, index.WorkSCV = max(mean-2*site.NetworkDelay, mean/10), scv
		index.WorkQuantiles = workQuantiles(uncontended, 2*site.NetworkDelay)
		notes = append(notes, fmt.Sprintf("index %s: %.2f ms of work a part, read from %d calls that were alone", index.Name, 1000*index.Work, calls))
	}
	return notes, nil
}

// workQuantileCount is the number of quantiles of an estimated distribution, as many as a thousand calls can distinguish.
const workQuantileCount = 41

// workQuantiles returns the quantiles of the measured times minus the overhead, divided by the mean of the distribution that
// linear interpolation between them gives. It returns nil if that mean is 0.
func workQuantiles(times capture.Histogram, overhead float64) (list []float64) {
	sum := 0.0
	for i := range workQuantileCount {
		list = append(list, max(0, times.Quantile(float64(i)/(workQuantileCount-1))-overhead))
		if i > 0 {
			sum += (list[i] + list[i-1]) / 2 / (workQuantileCount - 1)
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

// Workload returns the workload of a capture, from its busiest interval or, if mean is set, from the mean of all intervals.
// Queries that clients resent are not counted. Shard popularity always covers the whole capture. sum is the sum of the
// capture's intervals; the caller passes it because computing it for a day takes a while. The notes name gaps in the capture.
func Workload(site *plan.Site, captured capture.Capture, sum *capture.Interval, mean bool) (workload plan.Workload, notes []string, err error) {
	if len(captured.Intervals) == 0 {
		return workload, nil, invalid("the capture holds no interval")
	}
	interval := sum
	if !mean {
		interval = busiestInterval(captured, sum)
	}
	for _, gap := range captured.Gaps() {
		notes = append(notes, fmt.Sprintf("nothing was captured for %.0f s: what happened then is not in the plan", gap.To-gap.From))
	}
	queries := 0.0
	for _, load := range interval.Loads {
		queries += float64(load.Queries - load.Resent)
	}
	indexNo := map[string]int{}
	for number, described := range site.Indexes {
		indexNo[described.Name] = number
	}
	byIndex := map[int][2]float64{}
	for _, load := range interval.Loads {
		index, known := indexNo[load.Index]
		if !known {
			return workload, notes, invalid("the capture has lookups of index %s, which the fleet does not describe: add it", load.Index)
		}
		totals := byIndex[index]
		byIndex[index] = [2]float64{totals[0] + float64(load.Queries-load.Resent), totals[1] + float64(load.Parts)*float64(load.Queries-load.Resent)/float64(max(1, load.Queries))}
	}
	if queries <= 0 {
		return workload, notes, invalid("the capture holds no lookups")
	}
	workload.QueriesPerSecond = queries / interval.Span
	for index := range site.Indexes {
		if totals := byIndex[index]; totals[0] > 0 {
			workload.Mix = append(workload.Mix, plan.QueryKind{Index: index, Fraction: totals[0] / queries, Subqueries: max(1, int(totals[1]/totals[0]+0.5))})
		}
	}
	workload.Popularity = make([]float64, site.Shards)
	for _, shard := range sum.Shards {
		if shard.Shard >= site.Shards {
			return workload, notes, invalid("the capture asks for shard %d, the fleet holds %d: describe the fleet that the capture was taken on", shard.Shard, site.Shards)
		}
		workload.Popularity[shard.Shard] += float64(shard.Parts)
	}
	return workload, notes, workload.Check(site)
}

// busiestInterval returns the interval with the most subqueries per second, or fallback if no interval has a rate.
func busiestInterval(captured capture.Capture, fallback *capture.Interval) *capture.Interval {
	highest, interval := -1.0, fallback
	for i := range captured.Intervals {
		rate := 0.0
		for _, load := range captured.Intervals[i].Loads {
			rate += float64(load.Parts) / captured.Intervals[i].Span
		}
		if rate > highest {
			highest, interval = rate, &captured.Intervals[i]
		}
	}
	return interval
}
