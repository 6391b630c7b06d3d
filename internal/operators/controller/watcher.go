package controller

import (
	"slices"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/override"
)

// Watcher hears of changes. Its channel closes when it has fallen too far behind, or with the controller.
type Watcher struct {
	C      chan override.Change
	closed bool
}

// Watch tells the changes after a revision that are still in memory, and all that come.
func (c *Controller) Watch(from override.Revision) *Watcher {
	w := &Watcher{C: make(chan override.Change, recent+watcherLag)}
	if !c.request(func(c *Controller) {
		for _, c := range c.recent[max(0, len(c.recent)-recent):] {
			if c.Revision > from {
				w.C <- c
			}
		}
		c.watchers = append(c.watchers, w)
	}) {
		close(w.C)
	}
	return w
}

// Unwatch lets a watcher go.
func (c *Controller) Unwatch(w *Watcher) { c.in.Put(message{kind: unwatched, watcher: w}) }

func (c *Controller) notify(change override.Change) {
	c.count.Add("overrides", change.Kind.String(), 1)
	o := &change.Override
	c.log.Info("override",
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
	if c.recent = append(c.recent, change); len(c.recent) > 2*recent {
		c.recent = slices.Clone(c.recent[recent:])
	}
	for _, w := range slices.Clone(c.watchers) {
		select {
		case w.C <- change:
		default:
			c.drop(w)
		}
	}
}

func (c *Controller) drop(w *Watcher) {
	if !w.closed {
		w.closed = true
		close(w.C)
	}
	c.watchers = slices.DeleteFunc(c.watchers, func(o *Watcher) bool { return o == w })
}
