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
	// processorShare is the smallest share of a core with which a process must work.
	processorShare = 0.2
	// messageProcessorTime is the processor time of each request or response that a process sends or receives, and of each write.
	// It is about three times the time in the benchmarks of a call.
	messageProcessorTime = 300 * time.Microsecond
	// longestUninterruptedWork is the processor time of the longest work that cannot be interrupted, such as a garbage collection,
	// a compaction, or the copy of a group's state. It occurs once a second.
	longestUninterruptedWork = 60 * time.Millisecond
	// excessiveWork is uninterrupted work that takes longer than a lease under the quota.
	excessiveWork = 400 * time.Millisecond

	quotaRunTime = 15 * time.Second
)

// processorQuota models a quota of processor time per period. Work runs at full speed until the quota of the period is spent, and then
// stops for the rest of the period. Work is done in the order of arrival.
type processorQuota struct {
	share         time.Duration // quota of each period
	freeAt        time.Time     // when the work so far is finished
	periodStart   time.Time     // start of the period that contains freeAt
	spentInPeriod time.Duration // quota spent in that period
}

func newProcessorQuota(now time.Time, share float64) *processorQuota {
	return &processorQuota{share: time.Duration(share * float64(quotaPeriod)), freeAt: now, periodStart: now}
}

// schedule adds work that arrives now, and returns the time at which it is finished.
func (q *processorQuota) schedule(now time.Time, work time.Duration) (done time.Time) {
	if now.After(q.freeAt) {
		q.freeAt = now
	}
	q.startNewPeriod()
	for work > 0 {
		if q.spentInPeriod == q.share {
			q.freeAt = q.periodStart.Add(quotaPeriod)
			q.startNewPeriod()
		}
		slice := min(work, q.share-q.spentInPeriod)
		q.freeAt, q.spentInPeriod, work = q.freeAt.Add(slice), q.spentInPeriod+slice, work-slice
	}
	return q.freeAt
}

// startNewPeriod renews the quota if freeAt is in a later period.
func (q *processorQuota) startNewPeriod() {
	if passed := q.freeAt.Sub(q.periodStart) / quotaPeriod; passed > 0 {
		q.periodStart, q.spentInPeriod = q.periodStart.Add(passed*quotaPeriod), 0
	}
}

// useProcessor waits until the machine's process has done work of the given processor time. Without a quota it does not wait.
func (m *machine) useProcessor(amount time.Duration) {
	m.mutex.Lock()
	if m.processorQuota == nil {
		m.mutex.Unlock()
		return
	}
	remaining := time.Until(m.processorQuota.schedule(time.Now(), amount))
	m.mutex.Unlock()
	if remaining > 0 {
		<-time.After(remaining)
	}
}

// runUnderQuota runs a simulation without faults in which each process has a processor quota, and each coordinator does uninterrupted
// work once a second. It returns the simulation and its violations.
func runUnderQuota(t *testing.T, seed uint64, work time.Duration) (s *simulation, violations []string) {
	t.Helper()
	virtualtime.Test(t, func(*testing.T) {
		s = newSimulation(seed)
		for _, m := range append(s.agents, s.cores...) {
			m.processorQuota = newProcessorQuota(s.startedAt, processorShare)
		}
		s.startAll()
		ctx, stop := context.WithCancel(context.Background())
		<-time.After(startPhase)
		s.startActors(ctx)
		for i, m := range s.cores {
			s.actors.Go(func() {
				<-time.After(time.Duration(i) * quotaPeriod)
				for ctx.Err() == nil {
					m.useProcessor(work)
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

// TestLeaderSurvivesProcessorQuota guards against a leader that loses its leadership because of a small processor quota. No lease,
// failure detector, election or time limit may treat a pause until the next period as a failure, nor several such pauses in a row.
// The first leader must lead to the end, without violations.
func TestLeaderSurvivesProcessorQuota(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		s, violations := runUnderQuota(t, seed, longestUninterruptedWork)
		convey.Convey("Processes with a fifth of a core keep their leader", t, func() {
			convey.So(violations, convey.ShouldBeEmpty)
			convey.So(s.checker.checkCounts["elections"], convey.ShouldEqual, 1)
			convey.So(len(s.checker.acknowledged), convey.ShouldBeGreaterThan, 5)
			convey.So(len(s.checker.acceptedJobs), convey.ShouldBeGreaterThan, 20)
		})
	}
	s, _ := runUnderQuota(t, 1, excessiveWork)
	convey.Convey("Uninterrupted work that outlasts the lease causes another election", t, func() {
		convey.So(s.checker.checkCounts["elections"], convey.ShouldBeGreaterThan, 1)
	})
}

func TestProcessorQuotaDelaysWorkBeyondItsShare(t *testing.T) {
	begin := time.Unix(0, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	quota := newProcessorQuota(begin, processorShare)
	convey.Convey("A quota of 20 ms in each 100 ms delays the work beyond it", t, func() {
		convey.So(quota.schedule(at(10), 15*time.Millisecond), convey.ShouldEqual, at(25))
		convey.So(quota.schedule(at(30), 5*time.Millisecond), convey.ShouldEqual, at(35))
		convey.So(quota.schedule(at(40), time.Millisecond), convey.ShouldEqual, at(101))
		convey.So(quota.schedule(at(50), 59*time.Millisecond), convey.ShouldEqual, at(320))
		convey.So(quota.schedule(at(500), 20*time.Millisecond), convey.ShouldEqual, at(520))
	})
}
