package feed

import (
	"context"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// Board holds the newest known state of the feed and wakes those who wait for news. All methods may be called from any
// goroutine; nobody may modify the snapshots and digests that it hands out.
type Board struct {
	mutex    sync.Mutex
	snapshot Snapshot
	digest   Digest
	changed  chan struct{} // closed at the next change
	catalog  Catalog       // the configuration of snapshot
}

// NewBoard makes an empty Board.
func NewBoard() *Board { return &Board{changed: make(chan struct{})} }

// Snapshot returns the state.
func (b *Board) Snapshot() Snapshot {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.snapshot
}

// Digest names the state.
func (b *Board) Digest() Digest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.digest
}

// Merge takes over a newer configuration and newer leaders, and tells whether the state changed.
func (b *Board) Merge(news *Snapshot) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.digest.Lacks(news.Digest()) {
		return false
	}
	return b.replace(b.snapshot.merged(news))
}

// MergeWithMembers does as Merge and replaces the members as well, unless news has none.
func (b *Board) MergeWithMembers(news *Snapshot) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.replace(b.snapshot.merged(news).withMembers(news))
}

func (b *Board) replace(snapshot Snapshot) bool {
	digest := snapshot.Digest()
	if !b.digest.Lacks(digest) && !b.digest.differsInMembers(digest) {
		return false
	}
	b.snapshot, b.digest = snapshot, digest
	b.catalog.Publish(snapshot.ConfigurationVersion, snapshot.Configuration)
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// Since returns what a reader with the digest known lacks, or nil, and a channel that is closed at the next change.
// Other members than those of known count as news.
func (b *Board) Since(known Digest) (news *Snapshot, changed <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !known.Lacks(b.digest) && !known.differsInMembers(b.digest) {
		return nil, b.changed
	}
	return b.trimmed(known), b.changed
}

// Newer returns the configuration and the leaders where a reader with the digest known lacks some of them, else nil.
func (b *Board) Newer(known Digest) *Snapshot {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !known.Lacks(b.digest) {
		return nil
	}
	news := b.trimmed(known)
	news.Core, news.Front = nil, nil
	return news
}

// trimmed is the snapshot without a configuration and members that the reader has.
func (b *Board) trimmed(known Digest) *Snapshot {
	news := b.snapshot
	if known.ConfigurationVersion >= news.ConfigurationVersion {
		news.Configuration = nil
	}
	if known.MembersSum == b.digest.MembersSum {
		news.Core, news.Front = nil, nil
	}
	return &news
}

// ByChunks returns news with an offer in the place of the configuration, for a reader with the digest known and room for
// some parts. A reader without room gets them whole.
func (b *Board) ByChunks(news *Snapshot, known Digest, room int) *Snapshot {
	if news == nil || room <= 0 || len(news.Configuration) == 0 {
		return news
	}
	offered := *news
	offered.Configuration = nil
	offered.ConfigurationVersion, offered.Offer = b.catalog.Offer(known.ConfigurationVersion, room)
	return &offered
}

// Chunks hands out parts of the newest configuration.
func (b *Board) Chunks(ask ChunksRequest) ChunksReply {
	return ChunksReply{Chunks: b.catalog.Chunks(chunks.SumsOf(ask.Sums), ask.Room)}
}

// Chunk returns a part of the newest configuration. It is a parts.Holder.
func (b *Board) Chunk(sum chunks.Sum) (chunk []byte, found bool) { return b.catalog.Chunk(sum) }

// Wait returns what a reader with the digest known lacks as soon as there is something, and nil once limit has passed or
// ctx has ended without news.
func (b *Board) Wait(ctx context.Context, known Digest, limit time.Duration) *Snapshot {
	news, changed := b.Since(known)
	if news != nil || limit <= 0 {
		return news
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
		if news, changed = b.Since(known); news != nil {
			return news
		}
	}
}
