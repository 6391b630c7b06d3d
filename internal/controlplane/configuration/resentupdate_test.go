package configuration

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stateAfterUpdates is the state after a number of changes, of which version n+1 was built on version n.
func stateAfterUpdates(count int) State {
	state := State{}
	for version := range uint64(count) {
		request := newUpdateRequest(version, bodyOf(int(version)+1, 1000))
		request.version = version + 1
		state = state.apply(request)
	}
	return state
}

func TestUpdateOlderThanHistoryIsUnclear(t *testing.T) {
	ctx := context.Background()
	Convey("Given a history whose oldest updates were dropped", t, func() {
		const dropped = 10
		state := stateAfterUpdates(maxAppliedHistory + dropped)
		value, err := state.Encode()
		So(err, ShouldBeNil)
		register := &fakeRegister{value: value}
		upToDate, restarted := newConfigurator(register), newConfigurator(register)
		_, _, err = upToDate.Read(ctx)
		So(err, ShouldBeNil)
		before := register.changeCount()

		Convey("an applied update within the history is confirmed again, and another of the same version is refused", func() {
			for _, member := range []*Configurator{upToDate, restarted} {
				So(member.Put(ctx, dropped, bodyOf(dropped+1, 1000)), ShouldResemble, acceptedOutcome(dropped+1))
				So(member.Put(ctx, dropped, bodyOf(dropped+1, 2000)), ShouldResemble, conflictOutcome(state.Version))
			}
		})
		Convey("an applied update that the history has dropped is unclear at every member", func() {
			for _, member := range []*Configurator{upToDate, restarted} {
				for _, ifMatch := range []int{0, 1, dropped - 1} {
					outcome := member.Put(ctx, uint64(ifMatch), bodyOf(ifMatch+1, 1000))
					So(outcome, ShouldResemble, Outcome{Kind: Unclear, Err: ErrOlderThanHistory})
				}
			}
			So(register.changeCount()-before, ShouldEqual, 1) // the restarted one asked a majority, once
			So(string(register.value), ShouldEqual, string(value))
		})
	})
	Convey("An old update is refused as long as the history reaches back to the first one", t, func() {
		value, err := stateAfterUpdates(maxAppliedHistory).Encode()
		So(err, ShouldBeNil)
		member := newConfigurator(&fakeRegister{value: value})
		So(member.Put(ctx, 0, bodyOf(1, 2000)), ShouldResemble, conflictOutcome(maxAppliedHistory))
	})
}

func TestAppliedUpdateIsConfirmedThoughValidationRefusesIt(t *testing.T) {
	ctx := context.Background()
	// An earlier release may have applied what the checks of this one refuse; both run side by side during a rolling update.
	memberWithApplied := func(request updateRequest) *Configurator {
		value, err := State{}.apply(request).Encode()
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
		Convey("An update that was applied is confirmed again though the checks refuse it: "+name, t, func() {
			request := newUpdateRequest(0, body)
			request.version = 5
			member := memberWithApplied(request)
			So(member.Put(ctx, 0, body), ShouldResemble, acceptedOutcome(5))
			So(member.Put(ctx, 5, body).Kind, ShouldEqual, Invalid)
		})
	}
}
