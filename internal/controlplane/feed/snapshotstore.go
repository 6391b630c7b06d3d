package feed

import (
	"context"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// SnapshotStore holds the newest known state of the feed and notifies waiting readers of changes. Its methods are safe for
// concurrent use. The snapshots and digests that it returns are shared and must not be modified.
type SnapshotStore struct {
	mutex    sync.Mutex
	snapshot Snapshot
	digest   Digest
	changed  chan struct{}        // closed and replaced at each change
	catalog  ConfigurationCatalog // the configuration of snapshot
}

// NewSnapshotStore returns an empty SnapshotStore.
func NewSnapshotStore() *SnapshotStore { return &SnapshotStore{changed: make(chan struct{})} }

// Snapshot returns the current state.
func (s *SnapshotStore) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

// Digest returns the digest of the current state.
func (s *SnapshotStore) Digest() Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.digest
}

// Merge merges the configuration and the leaders of update that are newer, and ignores its members. It reports whether the state
// changed.
func (s *SnapshotStore) Merge(update *Snapshot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.digest.Lacks(update.Digest()) {
		return false
	}
	return s.setSnapshot(s.snapshot.mergedWith(update))
}

// MergeWithMembers is like Merge but also replaces the members, unless update has no coordinators.
func (s *SnapshotStore) MergeWithMembers(update *Snapshot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.setSnapshot(s.snapshot.mergedWith(update).withMembersOf(update))
}

// setSnapshot stores snapshot and wakes waiting readers, and reports whether the state changed. The caller must hold the mutex.
func (s *SnapshotStore) setSnapshot(snapshot Snapshot) bool {
	digest := snapshot.Digest()
	if !s.digest.Lacks(digest) && !s.digest.differsInMembers(digest) {
		return false
	}
	s.snapshot, s.digest = snapshot, digest
	s.catalog.Publish(snapshot.ConfigurationVersion, snapshot.Configuration)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// UpdateSince returns what a reader with the digest known lacks, or nil if it lacks nothing. It also returns a channel that is
// closed at the next change. Members that differ from those of known count as a change.
func (s *SnapshotStore) UpdateSince(known Digest) (update *Snapshot, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !known.Lacks(s.digest) && !known.differsInMembers(s.digest) {
		return nil, s.changed
	}
	return s.updateFor(known), s.changed
}

// NewerThan returns an update without members for a reader with the digest known. It returns nil if the reader has the newest
// configuration and leaders.
func (s *SnapshotStore) NewerThan(known Digest) *Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !known.Lacks(s.digest) {
		return nil
	}
	update := s.updateFor(known)
	update.Coordinators, update.Agents = nil, nil
	return update
}

// updateFor returns the snapshot without the configuration and the members that the reader already has. The caller must hold the
// mutex.
func (s *SnapshotStore) updateFor(known Digest) *Snapshot {
	update := s.snapshot
	if known.ConfigurationVersion >= update.ConfigurationVersion {
		update.Configuration = nil
	}
	if known.MembersSum == s.digest.MembersSum {
		update.Coordinators, update.Agents = nil, nil
	}
	return &update
}

// AsOffer returns a copy of update with an Offer instead of the configuration, for a reader with the digest known. The Offer
// contains at most maxBytes bytes of chunks. If maxBytes is 0 or less, or update has no configuration, AsOffer returns update
// itself.
func (s *SnapshotStore) AsOffer(update *Snapshot, known Digest, maxBytes int) *Snapshot {
	if update == nil || maxBytes <= 0 || len(update.Configuration) == 0 {
		return update
	}
	offered := *update
	offered.Configuration = nil
	offered.ConfigurationVersion, offered.Offer = s.catalog.Offer(known.ConfigurationVersion, maxBytes)
	return &offered
}

// Chunks returns the reply to a ChunksRequest.
func (s *SnapshotStore) Chunks(request ChunksRequest) ChunksReply {
	return ChunksReply{Chunks: s.catalog.Chunks(chunks.ParseSums(request.Sums), request.MaxBytes)}
}

// Chunk returns one chunk of the newest configuration. The method can be used as a chunks.Source.
func (s *SnapshotStore) Chunk(sum chunks.Sum) (chunk []byte, found bool) { return s.catalog.Chunk(sum) }

// Wait waits until a reader with the digest known lacks something, and returns that update. It returns nil if timeout has passed
// or ctx has ended first.
func (s *SnapshotStore) Wait(ctx context.Context, known Digest, timeout time.Duration) *Snapshot {
	update, changed := s.UpdateSince(known)
	if update != nil || timeout <= 0 {
		return update
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return nil
		case <-changed:
		}
		if update, changed = s.UpdateSince(known); update != nil {
			return update
		}
	}
}
