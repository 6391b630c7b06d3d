package controlmodel

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	quotaPeriod = 100 * time.Millisecond
	// quotaShare is the least share of a core that a process is to get along with.
	quotaShare = 0.2
	// messageWork is the processor time of each request or response that a process sends or takes, and of each write: some three
	// times what the benchmarks of a call show.
	messageWork = 300 * time.Microsecond
	// longestStep is the processor time of the longest piece of work that cannot be interrupted, once a second: a collection of
	// garbage, a compaction, or the copy of a group's state.
	longestStep = 60 * time.Millisecond
	// brokenStep is one that no lease outlasts.
	brokenStep = 400 * time.Millisecond

	quotaRunTime = 15 * time.Second
)

// processorQuota is a share of a core: full speed until it is spent, then nothing for the rest of the period. Work is done in the order
// in which it comes.
type processorQuota struct {
	share time.Duration // of each period
	free  time.Time     // when the work so far is done
	begun time.Time     // of the period in which that is
	spent time.Duration // of that period's share
}

func newProcessorQuota(now time.Time, share float64) *processorQuota {
	return &processorQuota{share: time.Duration(share * float64(quotaPeriod)), free: now, begun: now}
}

// run adds work that comes now, and returns when it is done.
func (q *processorQuota) run(now time.Time, work time.Duration) (done time.Time) {
	if now.After(q.free) {
		q.free = now
	}
	q.enterPeriod()
	for work > 0 {
		if q.spent == q.share {
			q.free = q.begun.Add(quotaPeriod)
			q.enterPeriod()
		}
		slice := min(work, q.share-q.spent)
		q.free, q.spent, work = q.free.Add(slice), q.spent+slice, work-slice
	}
	return q.free
}

// enterPeriod gives the share anew where a new period has begun.
func (q *processorQuota) enterPeriod() {
	if passed := q.free.Sub(q.begun) / quotaPeriod; passed > 0 {
		q.begun, q.spent = q.begun.Add(passed*quotaPeriod), 0
	}
}

// work waits until the machine's process has done a piece of work. Without a quota it takes no time.
func (m *machine) work(amount time.Duration) {
	m.mutex.Lock()
	if m.processor == nil {
		m.mutex.Unlock()
		return
	}
	remaining := time.Until(m.processor.run(time.Now(), amount))
	m.mutex.Unlock()
	if remaining > 0 {
		<-time.After(remaining)
	}
}

// runUnderQuota plays a time without any fault in which each process has a quota and a long step each second, and returns the
// simulation and its violations.
func runUnderQuota(t *testing.T, seed uint64, step time.Duration) (s *simulation, violations []string) {
	t.Helper()
	virtualtime.Test(t, func(*testing.T) {
		s = newSimulation(seed)
		for _, m := range append(s.agents, s.cores...) {
			m.processor = newProcessorQuota(s.begin, quotaShare)
		}
		s.startAll()
		ctx, stop := context.WithCancel(context.Background())
		<-time.After(warmUp)
		s.startActors(ctx)
		for i, m := range s.cores {
			s.actors.Go(func() {
				<-time.After(time.Duration(i) * quotaPeriod)
				for ctx.Err() == nil {
					m.work(step)
					<-time.After(time.Second)
				}
			})
		}
		<-time.After(quotaRunTime)
		stop()
		s.actors.Wait()
		s.checkFinalState()
		violations = s.checker.violations
	})
	return s, violations
}

// No lease, failure detector, election or time limit takes a pause between two shares of the processor for a failure, nor several in a
// row: the leader of the first moment leads to the end, and all that the model checks holds.
func TestProcessorQuota(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		s, violations := runUnderQuota(t, seed, longestStep)
		convey.Convey("Processes with a fifth of a core keep their leader", t, func() {
			convey.So(violations, convey.ShouldBeEmpty)
			convey.So(s.checker.counts["elections"], convey.ShouldEqual, 1)
			convey.So(len(s.checker.acknowledged), convey.ShouldBeGreaterThan, 5)
			convey.So(len(s.checker.acceptedJobs), convey.ShouldBeGreaterThan, 20)
		})
	}
	s, _ := runUnderQuota(t, 1, brokenStep)
	convey.Convey("A step that spends more than a lease of shares is found", t, func() {
		convey.So(s.checker.counts["elections"], convey.ShouldBeGreaterThan, 1)
	})
}

func TestQuotaOfAProcess(t *testing.T) {
	begin := time.Unix(0, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	quota := newProcessorQuota(begin, quotaShare)
	convey.Convey("A share of 20 ms of each 100 ms", t, func() {
		convey.So(quota.run(at(10), 15*time.Millisecond), convey.ShouldEqual, at(25))
		convey.So(quota.run(at(30), 5*time.Millisecond), convey.ShouldEqual, at(35))
		convey.So(quota.run(at(40), time.Millisecond), convey.ShouldEqual, at(101))
		convey.So(quota.run(at(50), 59*time.Millisecond), convey.ShouldEqual, at(320))
		convey.So(quota.run(at(500), 20*time.Millisecond), convey.ShouldEqual, at(520))
	})
}
