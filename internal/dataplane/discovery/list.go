package discovery

import (
	"encoding/json"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// entry is a backend in the registry's JSON.
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

// weight is the backend's size; where none is stated, or none that can be, all count alike.
func (e *entry) weight() float64 {
	if e.Weight == nil || *e.Weight <= 0 {
		return 1
	}
	return *e.Weight
}

// check checks an entry; known says that it is of the list that the configuration has.
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
	// In a configuration it is a mistake. A later list is not rejected for a weight: its drains are more important.
	case initial && e.Weight != nil && *e.Weight <= 0:
		return malformed("searcher %q: weight is %g, expected more than 0", e.ID, *e.Weight)
	}
	return nil
}

// page is a list of the registry, complete or a patch.
type page struct {
	Version   *int64  `json:"generation"`
	Complete  bool    `json:"reset"`
	Instances []entry `json:"instances"`
}

var phases = map[string]policy.Phase{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Removed}

// applyList parses a list and passes it to the listener, all or nothing: half a list would be worse than an old one.
func (r *Client) applyList(line []byte, initial bool) error {
	var list page
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
	for i := range list.Instances { // all of them, before the first one is applied
		if err := list.Instances[i].check(initial); err != nil {
			return err
		}
	}
	before := r.backendIDs
	if event.List != policy.ListPatch { // those that it leaves out are removed
		r.backendIDs = make(map[string]policy.BackendID, len(list.Instances))
	}
	for i := range list.Instances {
		instance := &list.Instances[i]
		phase := phases[instance.State]
		id, known := r.backendIDs[instance.ID]
		if !known {
			id, known = before[instance.ID]
		}
		switch {
		case !known && phase == policy.Removed:
			continue
		case !known:
			r.lastID++
			id = r.lastID
		}
		if phase == policy.Removed { // should the name come again, it is another backend's
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

// number is a name's number; names that the settings do not have get further numbers.
func numberOf(names map[string]int, name string) int {
	no, known := names[name]
	if !known {
		no = len(names)
		names[name] = no
	}
	return no
}
