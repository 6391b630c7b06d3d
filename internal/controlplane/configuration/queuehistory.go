package configuration

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// Tenure is a period during which a queue belonged to a service, in versions of the configuration.
type Tenure struct {
	Service string `msgpack:"n"`
	Since   uint64 `msgpack:"s,omitempty"` // first version of the period; 0 if it began before the history
	Until   uint64 `msgpack:"u"`           // version that ended the period; 0 for the present one
}

// Ended reports whether a version of the configuration has ended the period.
func (t Tenure) Ended() bool { return t.Until != 0 }

// QueueHistory says which services a queue belonged to before. It exists only for queues that were removed or given to another
// service, for as long as an earlier service may know jobs of the queue.
type QueueHistory struct {
	Queue queuekey.Key `msgpack:"q"`
	// Since is the version in which the present service got the queue. It has no meaning while no route has the queue.
	Since   uint64   `msgpack:"s,omitempty"`
	Earlier []Tenure `msgpack:"e"` // that of each other service, only the latest of each
}

// maxEarlierTenures is the maximum number of ended tenures that the histories of all queues have. The oldest ones are dropped first.
const maxEarlierTenures = 50_000

// end records that the tenure of the present service ended in a version.
func (h *QueueHistory) end(service string, version uint64) {
	h.Earlier = append(h.Earlier, Tenure{Service: service, Since: h.Since, Until: version})
}

// begin records that a service got the queue in a version.
func (h *QueueHistory) begin(service string, version uint64) {
	h.Since = version
	h.Earlier = slices.DeleteFunc(h.Earlier, func(t Tenure) bool { return t.Service == service })
}

// RetiredFunc reports whether an ended tenure of a queue is no longer needed: its service has no job of the queue, and accepts none.
type RetiredFunc func(queue queuekey.Key, ended Tenure) bool

// HistoriesAfter returns the histories of queues after an update replaces the configuration. Retired tenures are left out, so histories
// grow and shrink only with updates. The result does not share memory with d.
func (d *QueueDirectory) HistoriesAfter(update *Configuration, retired RetiredFunc) []QueueHistory {
	next := make(map[queuekey.Key]*QueueHistory, len(d.histories))
	for key, history := range d.histories {
		next[key] = &QueueHistory{Queue: key, Since: history.Since, Earlier: slices.Clone(history.Earlier)}
	}
	services := servicesByQueue(update.Routes)
	for key, service := range d.services {
		if services[key] == service {
			continue
		}
		if next[key] == nil {
			next[key] = &QueueHistory{Queue: key}
		}
		next[key].end(service, update.Version)
	}
	for key, service := range services {
		if history := next[key]; history != nil && d.services[key] != service {
			history.begin(service, update.Version)
		}
	}
	return sortedHistories(next, retired)
}

// sortedHistories returns the histories that have ended tenures which are not retired, in the order of their keys.
func sortedHistories(histories map[queuekey.Key]*QueueHistory, retired RetiredFunc) []QueueHistory {
	var sorted []QueueHistory
	for key, history := range histories {
		history.Earlier = slices.DeleteFunc(history.Earlier, func(t Tenure) bool { return retired(key, t) })
		if len(history.Earlier) > 0 {
			sorted = append(sorted, *history)
		}
	}
	slices.SortFunc(sorted, func(a, b QueueHistory) int { return cmp.Compare(a.Queue, b.Queue) })
	return dropOldestTenures(sorted, maxEarlierTenures)
}

// dropOldestTenures drops the tenures that ended first until at most limit remain, and histories without any.
func dropOldestTenures(histories []QueueHistory, limit int) []QueueHistory {
	var ends []uint64
	for _, history := range histories {
		for _, tenure := range history.Earlier {
			ends = append(ends, tenure.Until)
		}
	}
	if len(ends) <= limit {
		return histories
	}
	slices.Sort(ends)
	newestDropped := ends[len(ends)-limit-1]
	for i := range histories {
		histories[i].Earlier = slices.DeleteFunc(histories[i].Earlier, func(t Tenure) bool { return t.Until <= newestDropped })
	}
	return slices.DeleteFunc(histories, func(h QueueHistory) bool { return len(h.Earlier) == 0 })
}
