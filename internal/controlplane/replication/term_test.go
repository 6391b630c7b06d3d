package replication

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// fixedClock is a clock that always returns the same time.
type fixedClock struct{}

// Now implements Clock.
func (fixedClock) Now() time.Duration { return time.Second }

// TestResignedTermStaysInvalid checks that Valid returns false as soon as Resign is called. The node may process the resignation
// late, after a long step, but the leader must stop issuing commands at once, for example when a worker has rejected one.
func TestResignedTermStaysInvalid(t *testing.T) {
	term := &Term{clock: fixedClock{}, resign: func() {}}
	term.extendLease(time.Minute)
	valid := term.Valid()
	term.Resign()
	afterResign := term.Valid()
	term.extendLease(2 * time.Minute) // by the step that is still running
	convey.Convey("A term is valid until it is resigned, and never afterwards", t, func() {
		convey.So(valid, convey.ShouldBeTrue)
		convey.So(afterResign, convey.ShouldBeFalse)
		convey.So(term.Valid(), convey.ShouldBeFalse)
	})
}
