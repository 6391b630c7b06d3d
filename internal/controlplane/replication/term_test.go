package replication

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// standingClock is a clock that does not move.
type standingClock struct{}

// Now implements Clock.
func (standingClock) Now() time.Duration { return time.Second }

// A worker's refusal must end all commands of a term though the node is within a long step, behind which the resignation waits.
func TestAResignedTermIsValidNoMore(t *testing.T) {
	term := &Term{clock: standingClock{}, resign: func() {}}
	term.extend(time.Minute)
	valid := term.Valid()
	term.Resign()
	afterResign := term.Valid()
	term.extend(2 * time.Minute) // by the step that is still under way
	convey.Convey("A term is valid until it is resigned, and never again", t, func() {
		convey.So(valid, convey.ShouldBeTrue)
		convey.So(afterResign, convey.ShouldBeFalse)
		convey.So(term.Valid(), convey.ShouldBeFalse)
	})
}
