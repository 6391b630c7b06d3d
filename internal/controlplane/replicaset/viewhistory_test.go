package replicaset_test

import (
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// viewHistory holds the views that a test has seen at any process.
type viewHistory struct {
	members map[uint64][]string // by version
	newest  replicaset.View
}

// record adds a view. It returns false if a view of the same version with other members was seen before.
func (h *viewHistory) record(view replicaset.View) (consistent bool) {
	if h.members == nil {
		h.members = make(map[uint64][]string)
	}
	known, found := h.members[view.Version]
	h.members[view.Version] = view.Members
	if view.Version > h.newest.Version {
		h.newest = view
	}
	return !found || slices.Equal(known, view.Members)
}
