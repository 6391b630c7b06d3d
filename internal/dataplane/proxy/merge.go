package proxy

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// apply updates the view from the agent's answer to a poll that was sent at polledAt. It returns false if the answer
// claimed updates but contained none.
func (f *feedFollower) apply(reply feed.WatchReply, polledAt time.Time) (progress bool) {
	old := f.currentView() // only this goroutine replaces the view
	next := *old
	if reply.Changed && reply.Snapshot != nil {
		next = f.merge(old, reply.Snapshot, reply.Current)
	}
	changed := next.version != old.version || next.membersChecksum != old.membersChecksum || !maps.Equal(next.leaders, old.leaders)
	if next.version != old.version {
		f.log.Info("configuration in force", zap.Uint64("version", next.version))
		f.onLimits(next.router.Limits().withDefaults())
	}
	f.publish(&next, changed, reply.Current, polledAt)
	return changed || !reply.Changed
}

// merge returns the old view, updated with the newer parts of a snapshot. It never replaces a part by an older one.
func (f *feedFollower) merge(old *view, snapshot *feed.Snapshot, current bool) view {
	next := *old
	if snapshot.ConfigurationVersion > old.version && len(snapshot.Configuration) > 0 {
		if router := f.parseConfiguration(snapshot); router != nil {
			next.version, next.router = snapshot.ConfigurationVersion, router
		}
	}
	next.leaders = mergeLeaders(old.leaders, snapshot.Leaders, current)
	if sum := snapshot.Digest().MembersSum; sum != 0 { // 0 if the snapshot has no members, because the proxy knows them
		next.membersChecksum = sum
	}
	return next
}

// parseConfiguration builds the router from a snapshot's configuration. It returns nil if the configuration cannot be
// parsed, and logs that once per version.
func (f *feedFollower) parseConfiguration(snapshot *feed.Snapshot) Router {
	if snapshot.ConfigurationVersion == f.unreadableVersion {
		return nil
	}
	router, err := f.buildRouter(snapshot.Configuration)
	if err != nil {
		f.unreadableVersion = snapshot.ConfigurationVersion
		f.log.Error("configuration not readable; the previous one stays in force",
			zap.Uint64("version", snapshot.ConfigurationVersion), zap.Error(err))
		return nil
	}
	return router
}

// mergeLeaders returns the leader with the latest term for each group. A group that is missing from a current snapshot no
// longer exists and is left out.
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

// publish records the result of a poll. If the view has changed, it replaces the current view, wakes the goroutines that
// wait for a change, and cancels the attempts to call leaders that have been replaced.
func (f *feedFollower) publish(next *view, changed, current bool, polledAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.current = current
	f.polledAt = polledAt
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
