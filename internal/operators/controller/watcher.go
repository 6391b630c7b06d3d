package controller

import (
	"slices"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/override"
)

// Watcher receives changes. Its channel is closed when the watcher lags too far behind, when it is removed, or when the
// controller stops.
type Watcher struct {
	C      chan override.Change
	closed bool
}

// Watch returns a watcher that receives all future changes, preceded by the recent changes after the given revision.
func (c *Controller) Watch(after override.Revision) *Watcher {
	w := &Watcher{C: make(chan override.Change, maxRecentChanges+maxWatcherLag)}
	if !c.call(func(c *Controller) {
		for _, change := range c.recentChanges[max(0, len(c.recentChanges)-maxRecentChanges):] {
			if change.Revision > after {
				w.C <- change
			}
		}
		c.watchers = append(c.watchers, w)
	}) {
		close(w.C)
	}
	return w
}

// Unwatch removes a watcher.
func (c *Controller) Unwatch(w *Watcher) { c.inbox.Put(message{kind: watcherRemoved, watcher: w}) }

func (c *Controller) publish(change override.Change) {
	c.counters.Add("overrides", change.Kind.String(), 1)
	o := &change.Override
	c.logger.Info("override",
		zap.Uint64("revision", uint64(change.Revision)),
		zap.String("what", change.Kind.String()),
		zap.Uint64("override", uint64(o.ID)),
		zap.Stringer("kind", o.Kind),
		zap.String("searcher", o.Backend),
		zap.String("location", o.Location),
		zap.String("index", o.Index),
		zap.String("author", change.Author),
		zap.String("text", change.Reason),
		zap.Strings("forced", change.Forced))
	if c.recentChanges = append(c.recentChanges, change); len(c.recentChanges) > 2*maxRecentChanges {
		c.recentChanges = slices.Clone(c.recentChanges[maxRecentChanges:])
	}
	for _, w := range slices.Clone(c.watchers) {
		select {
		case w.C <- change:
		default:
			c.removeWatcher(w)
		}
	}
}

func (c *Controller) removeWatcher(w *Watcher) {
	if !w.closed {
		w.closed = true
		close(w.C)
	}
	c.watchers = slices.DeleteFunc(c.watchers, func(other *Watcher) bool { return other == w })
}
