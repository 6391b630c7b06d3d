package workerclient

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestNextRenewalCallFollowsFromResponses(t *testing.T) {
	convey.Convey("Given a link that knows the worker's clock by responses only", t, func() {
		now := time.Unix(1000, 0)
		link := NewLink(Config{
			MaxLease: testMaxLease, Events: newRecorder(), HTTP: http.DefaultClient, Now: func() time.Time { return now },
		})
		clockMS := func() *int64 {
			reading := now.Sub(time.Unix(0, 0)).Milliseconds()
			return &reading
		}
		answered := func(c listCall) {
			link.handleListResponse(c, workerResponse{http.StatusOK, responseBody{ClockMS: clockMS()}}, nil, now)
			link.activity.listed = true
			link.setReachability(reachable)
		}
		convey.Convey("the first call is a poll that grants nothing", func() {
			poll := link.beginRenewal()
			convey.So(poll.request.waitMS, convey.ShouldEqual, 0)
			convey.So(poll.grant, convey.ShouldBeNil)
			convey.So(link.canSendStart(now), convey.ShouldBeFalse)
			convey.So(link.rtt.measured, convey.ShouldBeFalse)
			answered(poll)
			convey.So(link.rtt.measured, convey.ShouldBeTrue)

			convey.Convey("the second grants at once, and starts may be sent from then on", func() {
				short := link.beginRenewal()
				convey.So(short.request.waitMS, convey.ShouldEqual, 0)
				convey.So(short.grant, convey.ShouldNotBeNil)
				convey.So(link.canSendStart(now), convey.ShouldBeFalse)
				answered(short)
				convey.So(link.canSendStart(now), convey.ShouldBeTrue)

				convey.Convey("the next ones are long polls, and grant when the last grant is old", func() {
					renewal := link.beginRenewal()
					convey.So(renewal.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(renewal.request.validUntilMS, convey.ShouldEqual, 0)
					now = now.Add(renewalAge + time.Millisecond)
					answered(renewal)
					renewal = link.beginRenewal()
					convey.So(renewal.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(renewal.request.validUntilMS, convey.ShouldBeGreaterThan, short.request.validUntilMS)
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
				convey.Convey("a call that was never sent grants nothing", func() {
					now = now.Add(2 * time.Second)
					before := link.LeasesExpiredBy()
					renewal := link.beginRenewal()
					convey.So(link.LeasesExpiredBy(), convey.ShouldHappenAfter, before)
					link.handleListResponse(renewal, workerResponse{}, rpcerror.WrapNotExecuted(errNoResponse, 0), now)
					convey.So(link.LeasesExpiredBy(), convey.ShouldEqual, before)
				})
				convey.Convey("without renewal no start is sent in the end", func() {
					now = now.Add(testMaxLease - minRemainingLease)
					convey.So(link.canSendStart(now), convey.ShouldBeFalse)
				})
			})
		})
	})
	convey.Convey("Where leases are short, all times are shorter", t, func() {
		short := timingsFor(time.Second)
		convey.So(short.longPollWait, convey.ShouldEqual, 250*time.Millisecond)
		convey.So(short.minRemainingLease+short.longPollWait+short.renewalAge, convey.ShouldBeLessThan, time.Second)
		convey.So(timingsFor(time.Hour), convey.ShouldResemble, timings{longPollWait, renewalAge, minRemainingLease, maxIdleInterval})
	})
}

func TestRenewalProgress(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a renewal under way", t, func() {
		cancelled := false
		renewal := pendingRenewal{cancel: func() { cancelled = true }}
		convey.Convey("the response to a poll does not cancel it while its own may come in time", func() {
			renewal.supersede()
			convey.So(cancelled, convey.ShouldBeFalse)
			convey.So(renewal.progress, convey.ShouldEqual, onTime)
		})
		convey.Convey("the response to a poll cancels it once it is overdue, for good", func() {
			renewal.markOverdue()
			renewal.supersede()
			convey.So(cancelled, convey.ShouldBeTrue)
			renewal.markOverdue()
			convey.So(renewal.progress, convey.ShouldEqual, superseded)
		})
	})
}
