package discovery

import (
	"encoding/json"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// entry is the registry's JSON of a backend.
type entry struct {
	ID        string   `json:"instanceId"`
	Address   string   `json:"hostPort"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"machineType"`
	Cell      int      `json:"cell"`
	State     string   `json:"lifecycle"`
	Weight    *float64 `json:"weight"`
	StartedMs float64  `json:"startedAtMs"`
}

// weight returns the backend's weight, or 1 if the weight is missing or not positive.
func (e *entry) weight() float64 {
	if e.Weight == nil || *e.Weight <= 0 {
		return 1
	}
	return *e.Weight
}

// check validates an entry. initial is set for the entries of the list in the configuration.
func (e *entry) check(initial bool) error {
	phase, valid := phases[e.State]
	switch {
	case !valid:
		return malformed("searcher %q: unknown state %q", e.ID, e.State)
	case e.ID == "":
		return malformed("searcher without an id")
	case phase != policy.Removed && e.Address == "":
		return malformed("searcher %q without an address", e.ID)
	case e.Cell < 0:
		return malformed("searcher %q: cell %d", e.ID, e.Cell)
	// An invalid weight in the configuration is an error. A later list is not rejected for a weight, because the drains in it are
	// more important.
	case initial && e.Weight != nil && *e.Weight <= 0:
		return malformed("searcher %q: weight is %g, expected more than 0", e.ID, *e.Weight)
	}
	return nil
}

// listMessage is the registry's JSON of a list, which is complete or a patch.
type listMessage struct {
	Version   *int64  `json:"generation"`
	Complete  bool    `json:"reset"`
	Instances []entry `json:"instances"`
}

// phases maps the registry's states to phases.
var phases = map[string]policy.Phase{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Removed}

// applyList parses a list and passes it to the listener, completely or not at all, because a partial list would be worse than
// the previous one.
func (r *Client) applyList(line []byte, initial bool) error {
	var list listMessage
	if err := json.Unmarshal(line, &list); err != nil {
		return err
	}
	if list.Version == nil {
		return malformed("no generation")
	}
	event := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListPatch}}
	switch {
	case initial:
		event.List = policy.ListStale
	case list.Complete:
		event.List = policy.ListComplete
	}
	for i := range list.Instances { // all entries are validated before the first one is applied
		if err := list.Instances[i].check(initial); err != nil {
			return err
		}
	}
	previous := r.backendIDs
	if event.List != policy.ListPatch { // backends that it does not contain are removed
		r.backendIDs = make(map[string]policy.BackendID, len(list.Instances))
	}
	for i := range list.Instances {
		instance := &list.Instances[i]
		phase := phases[instance.State]
		id, known := r.backendIDs[instance.ID]
		if !known {
			id, known = previous[instance.ID]
		}
		switch {
		case !known && phase == policy.Removed:
			continue
		case !known:
			r.lastID++
			id = r.lastID
		}
		if phase == policy.Removed { // the name may be reused later, for another backend
			delete(r.backendIDs, instance.ID)
		} else {
			r.backendIDs[instance.ID] = id
		}
		event.Entries = append(event.Entries, policy.Entry{Backend: id, Location: policy.LocationID(numberOf(r.locations, instance.Zone)),
			Kind: numberOf(r.machineKinds, instance.Kind), Cell: policy.CellID(instance.Cell), Phase: phase, Share: instance.weight(),
			StartedAt: instance.StartedMs / 1000})
		event.Addresses = append(event.Addresses, instance.Address)
		event.Names = append(event.Names, aggregator.Name{Backend: instance.ID, Location: instance.Zone})
	}
	r.version = *list.Version
	r.listener.Put(event)
	return nil
}

// numberOf returns the number of a name. It assigns new numbers to names that are not in the settings.
func numberOf(names map[string]int, name string) int {
	number, known := names[name]
	if !known {
		number = len(names)
		names[name] = number
	}
	return number
}
