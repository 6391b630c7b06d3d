package workerclient

import (
	"time"

	"go.uber.org/zap"
)

// redeliveryAge is the age after which completions without an acknowledgement are delivered again.
const redeliveryAge = time.Second

// deliver reports the lists of a response.
func (l *Link) deliver(c listCall, response workerResponse, outOfBand bool) {
	listing := l.listing(c, response)
	listing.OutOfBand = outOfBand
	received := l.now()
	l.mu.Lock()
	l.health.listed()
	l.activity.received(&response.body, l.commands.answeredBefore(c.sentAt))
	l.mu.Unlock()
	l.setContact(reachable)
	l.events.post(func(e Events) {
		l.deliveryHistory.add(&listing, response.body.ClockMS, received)
		e.Listing(listing)
	})
}

// listing is the report of a response. Entries whose task cannot be read are left out, and logged.
func (l *Link) listing(c listCall, response workerResponse) Listing {
	listing := Listing{
		Worker: l.config.Instance.ID, SentAt: c.sentAt, Partial: len(response.body.Finished) >= maxFinishedPerResponse,
		Running:  make([]RunningTask, 0, len(response.body.Running)),
		Finished: make([]FinishedTask, 0, len(response.body.Finished)),
	}
	for _, entry := range response.body.Running {
		if entry.nameErr != nil {
			l.log.Warn("attempt skipped", zap.Error(entry.nameErr))
			continue
		}
		listing.Running = append(listing.Running, entry.task)
	}
	for _, entry := range response.body.Finished {
		if entry.nameErr != nil {
			l.log.Warn("completion skipped", zap.Error(entry.nameErr))
			continue
		}
		listing.Finished = append(listing.Finished, entry.task)
	}
	return listing
}

// newestCompletion is the number of the newest completion listed whose task could be read; 0 when there is none.
func (response *workerResponse) newestCompletion() uint64 {
	newest := uint64(0)
	for i := range response.body.Finished {
		if entry := &response.body.Finished[i]; entry.nameErr == nil {
			newest = max(newest, entry.task.CompletionNumber)
		}
	}
	return newest
}

// deliveryHistory knows which listings were delivered. It is used by one delivery at a time and needs no lock.
type deliveryHistory struct {
	started          bool
	sentAt           time.Time // the latest of all
	clockMS          int64     // the worker's clock in the newest one
	newestCompletion uint64    // the number of the newest completion
	completionsAt    time.Time // when completions were delivered last
}

// add completes a listing that is delivered next: it marks the first one and stale ones, and drops completions that are not new.
func (h *deliveryHistory) add(listing *Listing, clockMS *int64, now time.Time) {
	listing.First = !h.started
	listing.Stale = h.started && h.stale(listing.SentAt, clockMS)
	h.started = true
	h.sentAt = later(h.sentAt, listing.SentAt)
	if clockMS != nil {
		h.clockMS = max(h.clockMS, *clockMS)
	}
	h.dropRepeated(listing, now)
}

// stale reports whether the worker may have listed its attempts before it did so for a listing delivered already. Responses on
// different connections may overtake one another; the worker's clock shows in which order they were written.
func (h *deliveryHistory) stale(sentAt time.Time, clockMS *int64) bool {
	if clockMS == nil || *clockMS == h.clockMS {
		return sentAt.Before(h.sentAt)
	}
	return *clockMS < h.clockMS
}

// dropRepeated drops the completions of a listing that has no new one. They are delivered again once they have been left without an
// acknowledgement for a while, and together with a new one.
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
