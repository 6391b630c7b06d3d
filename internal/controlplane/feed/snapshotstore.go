package feed

import (
	"context"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// SnapshotStore has the newest known state of the feed and wakes those who wait for a change. Its methods may be called from
// any goroutine. The snapshots and digests that it returns are shared and must not be modified.
type SnapshotStore struct {
	mutex    sync.Mutex
	snapshot Snapshot
	digest   Digest
	changed  chan struct{}        // closed at the next change
	catalog  ConfigurationCatalog // the configuration of snapshot
}

// NewSnapshotStore makes an empty SnapshotStore.
func NewSnapshotStore() *SnapshotStore { return &SnapshotStore{changed: make(chan struct{})} }

// Snapshot returns the state.
func (s *SnapshotStore) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

// Digest returns the digest of the state.
func (s *SnapshotStore) Digest() Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.digest
}

// Merge takes a newer configuration and newer leaders from update, and tells whether the state changed.
func (s *SnapshotStore) Merge(update *Snapshot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.digest.Lacks(update.Digest()) {
		return false
	}
	return s.setSnapshot(s.snapshot.mergedWith(update))
}

// MergeWithMembers does as Merge and replaces the members as well, unless update has none.
func (s *SnapshotStore) MergeWithMembers(update *Snapshot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.setSnapshot(s.snapshot.mergedWith(update).withMembersOf(update))
}

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

// UpdateSince returns what a reader with the digest known lacks, or nil, and a channel that is closed at the next change.
// Members other than those of known count as a change.
func (s *SnapshotStore) UpdateSince(known Digest) (update *Snapshot, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !known.Lacks(s.digest) && !known.differsInMembers(s.digest) {
		return nil, s.changed
	}
	return s.updateFor(known), s.changed
}

// NewerThan returns the configuration and the leaders if a reader with the digest known lacks some of them, else nil.
func (s *SnapshotStore) NewerThan(known Digest) *Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !known.Lacks(s.digest) {
		return nil
	}
	update := s.updateFor(known)
	update.Core, update.Agents = nil, nil
	return update
}

// updateFor is the snapshot without the configuration or the members, where the reader has them. It needs the mutex.
func (s *SnapshotStore) updateFor(known Digest) *Snapshot {
	update := s.snapshot
	if known.ConfigurationVersion >= update.ConfigurationVersion {
		update.Configuration = nil
	}
	if known.MembersSum == s.digest.MembersSum {
		update.Core, update.Agents = nil, nil
	}
	return &update
}

// AsOffer returns update with an Offer instead of the configuration, for a reader with the digest known that takes maxBytes
// bytes of chunks. With maxBytes 0 or less, and without a configuration, it returns update as it is.
func (s *SnapshotStore) AsOffer(update *Snapshot, known Digest, maxBytes int) *Snapshot {
	if update == nil || maxBytes <= 0 || len(update.Configuration) == 0 {
		return update
	}
	offered := *update
	offered.Configuration = nil
	offered.ConfigurationVersion, offered.Offer = s.catalog.Offer(known.ConfigurationVersion, maxBytes)
	return &offered
}

// Chunks serves a ChunksRequest.
func (s *SnapshotStore) Chunks(request ChunksRequest) ChunksReply {
	return ChunksReply{Chunks: s.catalog.Chunks(chunks.ParseSums(request.Sums), request.MaxBytes)}
}

// Chunk returns a chunk of the newest configuration. It is a chunks.Source.
func (s *SnapshotStore) Chunk(sum chunks.Sum) (chunk []byte, found bool) { return s.catalog.Chunk(sum) }

// Wait returns what a reader with the digest known lacks as soon as there is something, and nil once limit has passed or ctx
// has ended without a change.
func (s *SnapshotStore) Wait(ctx context.Context, known Digest, limit time.Duration) *Snapshot {
	update, changed := s.UpdateSince(known)
	if update != nil || limit <= 0 {
		return update
	}
	timer := time.NewTimer(limit)
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
