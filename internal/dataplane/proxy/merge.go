package proxy

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// apply takes in an answer of the agent, who was asked at a time. It returns false when the answer claimed updates but had none.
func (f *follower) apply(reply feed.WatchReply, asked time.Time) (progress bool) {
	old := f.newest() // only this goroutine replaces it
	next := *old
	if reply.Changed && reply.Snapshot != nil {
		next = f.merge(old, reply.Snapshot, reply.Current)
	}
	changed := next.version != old.version || next.members != old.members || !maps.Equal(next.leaders, old.leaders)
	if next.version != old.version {
		f.log.Info("configuration in force", zap.Uint64("version", next.version))
		f.onLimits(next.router.Limits().withDefaults())
	}
	f.publish(&next, changed, reply.Current, asked)
	return changed || !reply.Changed
}

// merge returns the old view with what is newer in a snapshot. No part of it goes back.
func (f *follower) merge(old *view, snapshot *feed.Snapshot, current bool) view {
	next := *old
	if snapshot.ConfigurationVersion > old.version && len(snapshot.Configuration) > 0 {
		if router := f.read(snapshot); router != nil {
			next.version, next.router = snapshot.ConfigurationVersion, router
		}
	}
	next.leaders = mergeLeaders(old.leaders, snapshot.Leaders, current)
	if sum := snapshot.Digest().MembersSum; sum != 0 { // left out where they are known
		next.members = sum
	}
	return next
}

// read builds the router of a snapshot's configuration. It returns nil for one that cannot be read, and logs that once.
func (f *follower) read(snapshot *feed.Snapshot) Router {
	if snapshot.ConfigurationVersion == f.unreadable {
		return nil
	}
	router, err := f.build(snapshot.Configuration)
	if err != nil {
		f.unreadable = snapshot.ConfigurationVersion
		f.log.Error("configuration not readable; the previous one stays in force",
			zap.Uint64("version", snapshot.ConfigurationVersion), zap.Error(err))
		return nil
	}
	return router
}

// mergeLeaders keeps the newest leader of each group. A group that is gone from a current snapshot exists no more.
func mergeLeaders(old, update map[string]feed.Leader, current bool) map[string]feed.Leader {
	merged := maps.Clone(update)
	if merged == nil {
		merged = make(map[string]feed.Leader)
	}
	for group, leader := range old {
		newer, found := merged[group]
		if !found && current {
			continue
		}
		if !found || newer.Term < leader.Term {
			merged[group] = leader
		}
	}
	return merged
}

// publish makes a view the newest one, wakes who waits for it, and ends attempts at leaders that it replaces.
func (f *follower) publish(next *view, changed, current bool, asked time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.current = current
	f.received = asked
	if !changed {
		return
	}
	close(f.view.changed)
	next.changed = make(chan struct{})
	f.view = next
	for attempt := range f.attempts {
		if next.leaders[attempt.group].Term > attempt.leader.Term {
			attempt.cancel(errNewerLeader)
		}
	}
}
