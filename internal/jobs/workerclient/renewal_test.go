package workerclient

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestNextRenewalCallFollowsFromResponses(t *testing.T) {
	convey.Convey("Given a link that learns the worker's clock from responses", t, func() {
		now := time.Unix(1000, 0)
		link := NewLink(Config{
			MaxLease: testMaxLease, Events: newRecorder(), HTTP: http.DefaultClient, Now: func() time.Time { return now },
		})
		clockMS := func() *int64 {
			reading := now.Sub(time.Unix(0, 0)).Milliseconds()
			return &reading
		}
		respondOK := func(c listCall) {
			link.handleListResponse(c, workerResponse{http.StatusOK, responseBody{ClockMS: clockMS()}}, nil, now)
			link.activity.listed = true
			link.setReachability(reachable)
		}
		convey.Convey("the first call is a poll that grants no lease", func() {
			poll := link.beginRenewal()
			convey.So(poll.request.waitMS, convey.ShouldEqual, 0)
			convey.So(poll.grant, convey.ShouldBeNil)
			convey.So(link.canSendStart(now), convey.ShouldBeFalse)
			convey.So(link.rtt.measured, convey.ShouldBeFalse)
			respondOK(poll)
			convey.So(link.rtt.measured, convey.ShouldBeTrue)

			convey.Convey("the second call grants a lease at once, and starts may be sent after its response", func() {
				firstRenewal := link.beginRenewal()
				convey.So(firstRenewal.request.waitMS, convey.ShouldEqual, 0)
				convey.So(firstRenewal.grant, convey.ShouldNotBeNil)
				convey.So(link.canSendStart(now), convey.ShouldBeFalse)
				respondOK(firstRenewal)
				convey.So(link.canSendStart(now), convey.ShouldBeTrue)

				convey.Convey("the next calls are long polls, and renew the lease once renewalAge has passed", func() {
					renewal := link.beginRenewal()
					convey.So(renewal.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(renewal.request.validUntilMS, convey.ShouldEqual, 0)
					now = now.Add(renewalAge + time.Millisecond)
					respondOK(renewal)
					renewal = link.beginRenewal()
					convey.So(renewal.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(renewal.request.validUntilMS, convey.ShouldBeGreaterThan, firstRenewal.request.validUntilMS)
				})
				convey.Convey("a call without a response is followed by a poll", func() {
					now = now.Add(2 * time.Second)
					renewal := link.beginRenewal()
					link.handleListResponse(renewal, workerResponse{}, rpcerror.WrapMayHaveExecuted(errNoResponse), now)
					link.setReachability(unreachable)
					poll := link.beginRenewal()
					convey.So(poll.request.waitMS, convey.ShouldEqual, 0)
					convey.So(poll.grant, convey.ShouldBeNil)
					convey.So(poll.timeout, convey.ShouldEqual, unreachablePollTimeout)
					convey.So(link.LeasesExpiredBy(), convey.ShouldHappenAfter, now.Add(maxLateExecution+testMaxLease-time.Second))
				})
				convey.Convey("a call that was never sent grants no lease", func() {
					now = now.Add(2 * time.Second)
					before := link.LeasesExpiredBy()
					renewal := link.beginRenewal()
					convey.So(link.LeasesExpiredBy(), convey.ShouldHappenAfter, before)
					link.handleListResponse(renewal, workerResponse{}, rpcerror.WrapNotExecuted(errNoResponse, 0), now)
					convey.So(link.LeasesExpiredBy(), convey.ShouldEqual, before)
				})
				convey.Convey("without a renewal no start is sent shortly before the lease expires", func() {
					now = now.Add(testMaxLease - minRemainingLease)
					convey.So(link.canSendStart(now), convey.ShouldBeFalse)
				})
			})
		})
	})
	convey.Convey("Given a short maximum lease, all durations are shorter", t, func() {
		short := timingsFor(time.Second)
		convey.So(short.longPollWait, convey.ShouldEqual, 250*time.Millisecond)
		convey.So(short.minRemainingLease+short.longPollWait+short.renewalAge, convey.ShouldBeLessThan, time.Second)
		convey.So(timingsFor(time.Hour), convey.ShouldResemble, timings{longPollWait, renewalAge, minRemainingLease, maxIdleInterval})
	})
}

func TestRenewalProgress(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a renewal in flight", t, func() {
		cancelled := false
		renewal := pendingRenewal{cancel: func() { cancelled = true }}
		convey.Convey("the response to a poll does not cancel it before it is overdue", func() {
			renewal.supersede()
			convey.So(cancelled, convey.ShouldBeFalse)
			convey.So(renewal.progress, convey.ShouldEqual, onTime)
		})
		convey.Convey("the response to a poll cancels it once it is overdue, and it stays cancelled", func() {
			renewal.markOverdue()
			renewal.supersede()
			convey.So(cancelled, convey.ShouldBeTrue)
			renewal.markOverdue()
			convey.So(renewal.progress, convey.ShouldEqual, superseded)
		})
	})
}
