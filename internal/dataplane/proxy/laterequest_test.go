package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPauseDetectorTellsWhenRequestsMayHaveArrived(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := begin.Add
	Convey("Given a process that ticks and is then paused for 3.5 s", t, func() {
		var pauses pauseDetector
		So(pauses.earliestArrival(at(-time.Hour)), ShouldEqual, at(-time.Hour)) // before the first tick
		pauses.tick(at(0))
		pauses.tick(at(pauseTickInterval))
		Convey("a request that is read while it runs has just arrived", func() {
			So(pauses.earliestArrival(at(2*pauseTickInterval)), ShouldEqual, at(2*pauseTickInterval))
			So(pauses.earliestArrival(at(pauseTickInterval+minDetectedPause)), ShouldEqual, at(pauseTickInterval+minDetectedPause))
		})
		woken := 3500 * time.Millisecond
		Convey("one that is read before the first tick after the pause may have arrived right after the last tick before", func() {
			So(pauses.earliestArrival(at(woken)), ShouldEqual, at(pauseTickInterval))
		})
		Convey("so may one that is read shortly after it, and a later one has just arrived", func() {
			pauses.tick(at(woken))
			So(pauses.earliestArrival(at(woken)), ShouldEqual, at(pauseTickInterval))
			So(pauses.earliestArrival(at(woken+wakeUpTime-1)), ShouldEqual, at(pauseTickInterval))
			So(pauses.earliestArrival(at(woken+wakeUpTime)), ShouldEqual, at(woken+wakeUpTime))
			pauses.tick(at(woken + pauseTickInterval))
			So(pauses.earliestArrival(at(woken+pauseTickInterval)), ShouldEqual, at(woken+pauseTickInterval))
		})
	})
}

// A request whose time has run out while the process was paused, or whose client has left, must not be sent to a leader: guards against
// jobs that are accepted though nobody waits for them (beside review case 5).
func TestRequestsNobodyWaitsForAreNotSentOn(t *testing.T) {
	leader := newFakeLeader(t).acceptSubmissions()
	f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
	serve := func(ctx context.Context) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, testPrefix+testID, strings.NewReader(testJob))
		f.proxy.handler.ServeHTTP(recorder, request)
		return recorder
	}
	Convey("A submission whose client waits is sent on", t, func() {
		So(serve(context.Background()).Code, ShouldEqual, http.StatusOK)
		So(leader.callCount(), ShouldEqual, 1)
	})
	Convey("A submission whose client has left is not sent on", t, func() {
		gone, leave := context.WithCancel(context.Background())
		leave()
		So(serve(gone).Code, ShouldEqual, http.StatusServiceUnavailable)
		So(leader.callCount(), ShouldEqual, 1)
	})
	Convey("A submission that may have waited in its socket for its whole time is refused, and says when to come back", t, func() {
		now := time.Now()
		pauses := &f.proxy.handler.pauses
		pauses.mutex.Lock()
		pauses.pauseBegan, pauses.pauseEnded = now.Add(-3500*time.Millisecond), now.Add(time.Hour)
		pauses.mutex.Unlock()
		reply := serve(context.Background())
		So(reply.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.Header().Get("Retry-After"), ShouldEqual, "1")
		So(leader.callCount(), ShouldEqual, 1)
	})
}
