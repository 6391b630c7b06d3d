package inventory

import (
	"encoding/json"
	"fmt"
	"net/http"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// stateDraining is the state of a worker that the platform is about to remove.
const stateDraining = "draining"

// page is one page of the platform's worker list, in its wire format.
type page struct {
	Instances     *[]instanceEntry `json:"instances"`
	NextPageToken *string          `json:"nextPageToken"`
}

// instanceEntry is one worker on a page.
type instanceEntry struct {
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

// appendInstances appends the page's workers to instances. It skips entries without an identifier or an address.
func (p page) appendInstances(instances []workerclient.Instance) []workerclient.Instance {
	for _, e := range *p.Instances {
		if e.Identifier == "" || e.Address == "" {
			continue // the worker could not be addressed
		}
		instances = append(instances, workerclient.Instance{
			ID: workerclient.WorkerID(e.Identifier), Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version,
			Slots: e.Slots, Draining: e.State == stateDraining, RemainingMS: int64(e.RemainingMS),
			WarmupRemainingMS: int64(e.WarmupRemainingMS), Capacity: e.Capacity, Labels: e.Labels,
		})
	}
	return instances
}

// withoutDuplicates returns the first entry of each worker. A worker may appear twice if it moves to another page while the
// list is being read. The result reuses the given slice.
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

// parsePage decodes a response of the platform. A status other than 200 is an error.
func parsePage(status int, body []byte) (page, error) {
	if status == http.StatusTooManyRequests {
		return page{}, ErrRateLimited
	}
	if status != http.StatusOK {
		return page{}, fmt.Errorf("request worker list: %w", &StatusError{Status: status})
	}
	var decoded page
	if err := json.Unmarshal(body, &decoded); err != nil {
		return page{}, fmt.Errorf("decode worker list: %w", err)
	}
	if decoded.Instances == nil {
		return page{}, fmt.Errorf("decode worker list: %w", ErrNoInstances)
	}
	return decoded, nil
}
