package configuration

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// manyChanges is the state after a number of changes, of which version n+1 was built on version n.
func manyChanges(count int) State {
	state := State{}
	for version := range uint64(count) {
		asked := newOrder(version, bodyOf(int(version)+1, 1000))
		asked.version = version + 1
		state = state.after(asked)
	}
	return state
}

func TestAnOrderOlderThanTheHistory(t *testing.T) {
	ctx := context.Background()
	Convey("Given a history of which the oldest part has been cut", t, func() {
		const cut = 10
		state := manyChanges(maxTaken + cut)
		value, err := state.Encode()
		So(err, ShouldBeNil)
		register := &fakeRegister{value: value}
		informed, restarted := newConfigurator(register), newConfigurator(register)
		_, _, err = informed.Read(ctx)
		So(err, ShouldBeNil)
		before := register.changeCount()

		Convey("a taken order within the history is confirmed again, and another on top of its version is refused", func() {
			for _, member := range []*Configurator{informed, restarted} {
				So(member.Put(ctx, cut, bodyOf(cut+1, 1000)), ShouldResemble, accepted(cut+1))
				So(member.Put(ctx, cut, bodyOf(cut+1, 2000)), ShouldResemble, conflict(state.Version))
			}
		})
		Convey("a taken order that the history has lost is not refused, at no member", func() {
			for _, member := range []*Configurator{informed, restarted} {
				for _, ifMatch := range []int{0, 1, cut - 1} {
					outcome := member.Put(ctx, uint64(ifMatch), bodyOf(ifMatch+1, 1000))
					So(outcome, ShouldResemble, Outcome{Kind: Unclear, Err: ErrForgotten})
				}
			}
			So(register.changeCount()-before, ShouldEqual, 1) // the restarted one asked a majority, once
			So(string(register.value), ShouldEqual, string(value))
		})
	})
	Convey("An old order is refused as long as the history reaches back to the first change", t, func() {
		value, err := manyChanges(maxTaken).Encode()
		So(err, ShouldBeNil)
		member := newConfigurator(&fakeRegister{value: value})
		So(member.Put(ctx, 0, bodyOf(1, 2000)), ShouldResemble, conflict(maxTaken))
	})
}

func TestATakenOrderThatThisReleaseWouldNotTake(t *testing.T) {
	ctx := context.Background()
	// An earlier release may have taken what the checks of this one refuse; both run side by side during an update.
	takenElsewhere := func(asked order) *Configurator {
		value, err := State{}.after(asked).Encode()
		So(err, ShouldBeNil)
		member := newConfigurator(&fakeRegister{value: value})
		_, _, err = member.Read(ctx)
		So(err, ShouldBeNil)
		return member
	}
	for name, body := range map[string][]byte{
		"a route without a time-out": bodyOf(5, 0),
		"a text that is no JSON":     fmt.Appendf(nil, "version 5"),
	} {
		Convey("An order that was taken is confirmed again though the checks refuse it: "+name, t, func() {
			asked := newOrder(0, body)
			asked.version = 5
			member := takenElsewhere(asked)
			So(member.Put(ctx, 0, body), ShouldResemble, accepted(5))
			So(member.Put(ctx, 5, body).Kind, ShouldEqual, Invalid)
		})
	}
}
