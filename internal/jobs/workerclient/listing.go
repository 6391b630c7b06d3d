package workerclient

import (
	"time"

	"go.uber.org/zap"
)

// deliver reports the lists of an answer.
func (l *Link) deliver(c holdCall, a answer, outOfBand bool) {
	listing := l.listing(c, a)
	listing.OutOfBand = outOfBand
	received := l.now()
	l.mu.Lock()
	l.refusals = 0
	l.listed = true
	if empty := len(a.reply.Running)+len(a.reply.Finished) == 0; !empty || l.settled(c.sentAt) {
		l.occupied = !empty
	}
	l.mu.Unlock()
	l.setContact(reachable)
	l.out.post(func(e Events) {
		l.delivered.add(&listing, a.reply.ClockMS, received)
		e.Listing(listing)
	})
}

// settled tells whether all orders were answered before a time. The caller holds the lock.
func (l *Link) settled(at time.Time) bool {
	return l.workers == 0 && len(l.orders.starts)+len(l.orders.stops) == 0 && l.resultAt.Before(at)
}

func (l *Link) listing(c holdCall, a answer) Listing {
	listing := Listing{
		Worker: l.config.Instance.ID, SentAt: c.sentAt, Partial: len(a.reply.Finished) >= finishedPerAnswer,
		Running:  make([]RunningTask, 0, len(a.reply.Running)),
		Finished: make([]FinishedTask, 0, len(a.reply.Finished)),
	}
	for _, entry := range a.reply.Running {
		if entry.bad != nil {
			l.log.Warn("run skipped", zap.Error(entry.bad))
			continue
		}
		listing.Running = append(listing.Running, entry.task)
	}
	for _, entry := range a.reply.Finished {
		if entry.bad != nil {
			l.log.Warn("end skipped", zap.Error(entry.bad))
			continue
		}
		listing.Finished = append(listing.Finished, entry.task)
	}
	return listing
}

// newestEnd is the number of the newest end listed that could be read; 0 when there is none.
func (a *answer) newestEnd() uint64 {
	newest := uint64(0)
	for i := range a.reply.Finished {
		if entry := &a.reply.Finished[i]; entry.bad == nil {
			newest = max(newest, entry.task.CompletionNumber)
		}
	}
	return newest
}

// history knows which listings were delivered. It is used by one delivery at a time and needs no lock.
type history struct {
	any     bool
	sentAt  time.Time // the latest of all
	clockMS int64     // the worker's clock in the newest one
	ends    uint64    // the number of the newest end
	endsAt  time.Time // when ends were delivered last
}

// add completes a listing that is delivered next: it marks the first one and stale ones, and drops ends that are not new.
func (h *history) add(listing *Listing, clockMS *int64, now time.Time) {
	listing.First = !h.any
	listing.Stale = h.any && h.stale(listing.SentAt, clockMS)
	h.any = true
	h.sentAt = later(h.sentAt, listing.SentAt)
	if clockMS != nil {
		h.clockMS = max(h.clockMS, *clockMS)
	}
	h.dropRepeated(listing, now)
}

// stale tells whether the worker may have listed its runs before it did so for a listing delivered already. Answers on
// different connections may pass one another; the worker's clock tells in which order they were written.
func (h *history) stale(sentAt time.Time, clockMS *int64) bool {
	if clockMS == nil || *clockMS == h.clockMS {
		return sentAt.Before(h.sentAt)
	}
	return *clockMS < h.clockMS
}

// dropRepeated drops the ends of a listing that has no new one. They are delivered again once they have been left without an
// acknowledgement for a while, and together with a new one.
func (h *history) dropRepeated(listing *Listing, now time.Time) {
	if len(listing.Finished) == 0 {
		return
	}
	newest := listing.Finished[len(listing.Finished)-1].CompletionNumber
	if newest <= h.ends && now.Sub(h.endsAt) < repeatAge {
		listing.Finished = listing.Finished[:0]
		return
	}
	h.ends = max(h.ends, newest)
	h.endsAt = now
}
