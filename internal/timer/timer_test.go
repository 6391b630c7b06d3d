package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/timer"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestSleepEndsWithDurationOrContext(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Sleep returns true after its duration", t, func() {
			began := time.Now()
			So(timer.Sleep(context.Background(), time.Minute), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, time.Minute)
			So(timer.Sleep(context.Background(), -time.Second), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, time.Minute)
		})
		Convey("Sleep returns false when its context ends", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			slept := make(chan bool, 1)
			go func() { slept <- timer.Sleep(ctx, time.Hour) }()
			synctest.Wait()
			cancel()
			So(<-slept, ShouldBeFalse)
		})
	})
}
