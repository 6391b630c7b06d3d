package discovery

import (
	"encoding/json"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// entry and page are the register's form.
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

type page struct {
	Version   *int64  `json:"generation"`
	Whole     bool    `json:"reset"`
	Instances []entry `json:"instances"`
}

var phases = map[string]policy.Phase{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Removed}

// take reads a line of the register's and tells the module, unless anything in it can't be read: half a list
// would be worse than an old one.
func (r *Client) take(line []byte, known bool) error {
	var p page
	if err := json.Unmarshal(line, &p); err != nil {
		return err
	}
	if p.Version == nil {
		return malformed("no generation")
	}
	e := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListPatch}}
	switch {
	case known:
		e.List = policy.ListStale
	case p.Whole:
		e.List = policy.ListComplete
	}
	for i := range p.Instances { // all of them, before the first one counts
		in := &p.Instances[i]
		phase, is := phases[in.State]
		switch {
		case !is:
			return malformed("searcher %q: unknown state %q", in.ID, in.State)
		case in.ID == "":
			return malformed("searcher without an id")
		case phase != policy.Removed && in.Address == "":
			return malformed("searcher %q without an address", in.ID)
		case in.Cell < 0:
			return malformed("searcher %q: cell %d", in.ID, in.Cell)
		// In a config it is a slip. A list that comes later is not refused for a figure: its drains count more.
		case known && in.Weight != nil && *in.Weight <= 0:
			return malformed("searcher %q: weight is %g, expected more than 0", in.ID, *in.Weight)
		}
	}
	before := r.ids
	if e.List != policy.ListPatch { // those that it leaves out are gone
		r.ids = make(map[string]policy.BackendID, len(p.Instances))
	}
	for i := range p.Instances {
		in := &p.Instances[i]
		phase := phases[in.State]
		id, seen := r.ids[in.ID]
		if !seen {
			id, seen = before[in.ID]
		}
		switch {
		case !seen && phase == policy.Removed:
			continue
		case !seen:
			r.lastID++
			id = r.lastID
		}
		if phase == policy.Removed { // should the name come again, it is another backend's
			delete(r.ids, in.ID)
		} else {
			r.ids[in.ID] = id
		}
		e.Entries = append(e.Entries, policy.Entry{Backend: id, Location: policy.LocationID(number(r.places, in.Zone)),
			Kind: number(r.kinds, in.Kind), Cell: policy.CellID(in.Cell), Phase: phase, Share: in.weight(),
			StartedAt: in.StartedMs / 1000})
		e.Addresses = append(e.Addresses, in.Address)
		e.Names = append(e.Names, aggregator.Name{Backend: in.ID, Location: in.Zone})
	}
	r.version = *p.Version
	r.tell.Put(e)
	return nil
}

// number gives names that the settings leave out numbers of their own, beyond those.
func number(names map[string]int, name string) int {
	no, known := names[name]
	if !known {
		no = len(names)
		names[name] = no
	}
	return no
}
