package workerclient

import (
	"time"

	"go.uber.org/zap"
)

// redeliveryAge is the time after which unacknowledged completions are delivered again.
const redeliveryAge = time.Second

// deliver reports the lists of a response to Events.
func (l *Link) deliver(c listCall, response workerResponse, outOfBand bool) {
	listing := l.listing(c, response)
	listing.OutOfBand = outOfBand
	received := l.now()
	l.mu.Lock()
	l.health.listed()
	l.activity.observeLists(&response.body, l.commands.allAnsweredBefore(c.sentAt))
	l.mu.Unlock()
	l.setReachability(reachable)
	l.events.post(func(e Events) {
		l.deliveryHistory.process(&listing, response.body.ClockMS, received)
		e.Listing(listing)
	})
}

// listing converts a response to a Listing. Entries whose task ID cannot be parsed are skipped and logged.
func (l *Link) listing(c listCall, response workerResponse) Listing {
	listing := Listing{
		Worker: l.config.Instance.ID, SentAt: c.sentAt, Partial: len(response.body.Finished) >= maxFinishedPerResponse,
		Running:  make([]RunningTask, 0, len(response.body.Running)),
		Finished: make([]FinishedTask, 0, len(response.body.Finished)),
	}
	for _, entry := range response.body.Running {
		if entry.taskIDErr != nil {
			l.log.Warn("attempt skipped", zap.Error(entry.taskIDErr))
			continue
		}
		listing.Running = append(listing.Running, entry.task)
	}
	for _, entry := range response.body.Finished {
		if entry.taskIDErr != nil {
			l.log.Warn("completion skipped", zap.Error(entry.taskIDErr))
			continue
		}
		listing.Finished = append(listing.Finished, entry.task)
	}
	return listing
}

// newestCompletion returns the number of the newest listed completion whose task ID could be parsed, or 0 if there is none.
func (response *workerResponse) newestCompletion() uint64 {
	newest := uint64(0)
	for i := range response.body.Finished {
		if entry := &response.body.Finished[i]; entry.taskIDErr == nil {
			newest = max(newest, entry.task.CompletionNumber)
		}
	}
	return newest
}

// deliveryHistory records which listings were delivered. It is used by one delivery at a time and needs no lock.
type deliveryHistory struct {
	delivered        bool
	sentAt           time.Time // latest SentAt of all listings
	clockMS          int64     // latest clock reading of all listings
	newestCompletion uint64    // number of the newest delivered completion
	completionsAt    time.Time // time of the last delivery of completions
}

// process prepares a listing for delivery. It marks the first listing and stale listings, and drops completions delivered before.
func (h *deliveryHistory) process(listing *Listing, clockMS *int64, now time.Time) {
	listing.First = !h.delivered
	listing.Stale = h.delivered && h.isStale(listing.SentAt, clockMS)
	h.delivered = true
	h.sentAt = later(h.sentAt, listing.SentAt)
	if clockMS != nil {
		h.clockMS = max(h.clockMS, *clockMS)
	}
	h.dropRepeated(listing, now)
}

// isStale reports whether the listing may be older than one that was delivered before. Responses on different connections may overtake
// one another. The worker's clock shows in which order they were written.
func (h *deliveryHistory) isStale(sentAt time.Time, clockMS *int64) bool {
	if clockMS == nil || *clockMS == h.clockMS {
		return sentAt.Before(h.sentAt)
	}
	return *clockMS < h.clockMS
}

// dropRepeated drops the completions of a listing without new completions. They are delivered again together with a new completion, or
// when redeliveryAge has passed.
func (h *deliveryHistory) dropRepeated(listing *Listing, now time.Time) {
	if len(listing.Finished) == 0 {
		return
	}
	newest := listing.Finished[len(listing.Finished)-1].CompletionNumber
	if newest <= h.newestCompletion && now.Sub(h.completionsAt) < redeliveryAge {
		listing.Finished = listing.Finished[:0]
		return
	}
	h.newestCompletion = max(h.newestCompletion, newest)
	h.completionsAt = now
}
