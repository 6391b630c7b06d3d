package inventory

import (
	"encoding/json"
	"fmt"
	"net/http"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// stateDraining is the state of a worker that the platform is about to take away.
const stateDraining = "draining"

// page is one answer of the platform, in its wire form.
type page struct {
	Instances     *[]entry `json:"instances"`
	NextPageToken *string  `json:"nextPageToken"`
}

// entry is one worker on the list.
type entry struct {
	Identifier        string        `json:"identifier"`
	Service           string        `json:"service"`
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Version           string        `json:"version"`
	Slots             int           `json:"slots"`
	State             string        `json:"state"`
	WarmupRemainingMS float64       `json:"coldRemainingMs"`
	RemainingMS       float64       `json:"remainingMs"`
	Capacity          job.Resources `json:"capacity"`
	Labels            job.Labels    `json:"labels"`
}

func (p page) appendTo(instances []workerclient.Instance) []workerclient.Instance {
	for _, e := range *p.Instances {
		if e.Identifier == "" || e.Address == "" {
			continue // nothing could be sent there
		}
		instances = append(instances, workerclient.Instance{
			ID: workerclient.WorkerID(e.Identifier), Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version,
			Slots: e.Slots, Draining: e.State == stateDraining, RemainingMS: int64(e.RemainingMS),
			WarmupRemainingMS: int64(e.WarmupRemainingMS), Capacity: e.Capacity, Labels: e.Labels,
		})
	}
	return instances
}

// withoutDuplicates keeps the first entry of each worker: one may move between pages while they are read.
func withoutDuplicates(instances []workerclient.Instance) []workerclient.Instance {
	seen := make(map[workerclient.WorkerID]bool, len(instances))
	kept := instances[:0]
	for _, instance := range instances {
		if !seen[instance.ID] {
			seen[instance.ID] = true
			kept = append(kept, instance)
		}
	}
	return kept
}

// parsePage reads an answer of the platform.
func parsePage(status int, body []byte) (page, error) {
	if status == http.StatusTooManyRequests {
		return page{}, ErrRateLimited
	}
	if status != http.StatusOK {
		return page{}, fmt.Errorf("list of workers: %w", &StatusError{Status: status})
	}
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return page{}, fmt.Errorf("decode list of workers: %w", err)
	}
	if p.Instances == nil {
		return page{}, fmt.Errorf("list of workers: %w", ErrNoInstances)
	}
	return p, nil
}
