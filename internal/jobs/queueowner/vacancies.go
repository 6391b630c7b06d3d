package queueowner

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// vacancy is an ended tenure of a queue.
type vacancy struct {
	queue  queuekey.Key
	tenure configuration.Tenure
}

// Vacancies is the set of ended tenures whose groups have released their queue and said that they know no job of it. That stays true,
// since such a group accepts no more jobs in that tenure. So it need not be asked again. Its methods are safe for concurrent use.
type Vacancies struct {
	mutex sync.Mutex
	known map[vacancy]struct{}
}

// Add adds a tenure whose group knows no job of the queue. Released is the version up to which the group has released its queues. A tenure that
// ended later, or has not ended, is ignored: the group may accept jobs in it as long as it has not heard of its end.
func (v *Vacancies) Add(queue queuekey.Key, tenure configuration.Tenure, released uint64) {
	if !tenure.Ended() || tenure.Until > released {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.known == nil {
		v.known = make(map[vacancy]struct{})
	}
	v.known[vacancy{queue, tenure}] = struct{}{}
}

// Contains reports whether a tenure is in the set.
func (v *Vacancies) Contains(queue queuekey.Key, tenure configuration.Tenure) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	_, found := v.known[vacancy{queue, tenure}]
	return found
}

// Retain removes the tenures that are not in a directory's histories.
func (v *Vacancies) Retain(queues *configuration.QueueDirectory) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if len(v.known) == 0 {
		return
	}
	retained := make(map[vacancy]struct{}, len(v.known))
	queues.EndedTenures(func(queue queuekey.Key, ended configuration.Tenure) {
		entry := vacancy{queue, ended}
		if _, found := v.known[entry]; found {
			retained[entry] = struct{}{}
		}
	})
	v.known = retained
}
