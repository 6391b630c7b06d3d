package configuration

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stateAfterUpdates returns the state after count updates, where version n+1 is based on version n.
func stateAfterUpdates(count int) State {
	state := State{}
	for version := range uint64(count) {
		request := newUpdateRequest(version, bodyOf(int(version)+1, 1000))
		request.version = version + 1
		state = state.apply(request, nil)
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

		Convey("an applied update within the history is confirmed again, and a different update of the same version conflicts", func() {
			for _, member := range []*Configurator{upToDate, restarted} {
				So(member.Put(ctx, dropped, bodyOf(dropped+1, 1000)), ShouldResemble, acceptedOutcome(dropped+1))
				So(member.Put(ctx, dropped, bodyOf(dropped+1, 2000)), ShouldResemble, conflictOutcome(state.Version))
			}
		})
		Convey("the outcome of an applied update that the history has dropped is Unclear at every member", func() {
			for _, member := range []*Configurator{upToDate, restarted} {
				for _, ifMatch := range []int{0, 1, dropped - 1} {
					outcome := member.Put(ctx, uint64(ifMatch), bodyOf(ifMatch+1, 1000))
					So(outcome, ShouldResemble, Outcome{Kind: Unclear, Err: ErrOlderThanHistory})
				}
			}
			So(register.changeCount()-before, ShouldEqual, 1) // only the restarted member needed the register, once
			So(string(register.value), ShouldEqual, string(value))
		})
	})
	Convey("An old update conflicts as long as the history goes back to the first update", t, func() {
		value, err := stateAfterUpdates(maxAppliedHistory).Encode()
		So(err, ShouldBeNil)
		member := newConfigurator(&fakeRegister{value: value})
		So(member.Put(ctx, 0, bodyOf(1, 2000)), ShouldResemble, conflictOutcome(maxAppliedHistory))
	})
}

func TestAppliedUpdateIsConfirmedThoughValidationRejectsIt(t *testing.T) {
	ctx := context.Background()
	// An earlier release may have applied a body that this release rejects. Both run at the same time during a rolling update.
	memberWithApplied := func(request updateRequest) *Configurator {
		value, err := State{}.apply(request, nil).Encode()
		So(err, ShouldBeNil)
		member := newConfigurator(&fakeRegister{value: value})
		_, _, err = member.Read(ctx)
		So(err, ShouldBeNil)
		return member
	}
	for name, body := range map[string][]byte{
		"a route without a timeout": bodyOf(5, 0),
		"a text that is not JSON":   fmt.Appendf(nil, "version 5"),
	} {
		Convey("An applied update is confirmed again although validation rejects it: "+name, t, func() {
			request := newUpdateRequest(0, body)
			request.version = 5
			member := memberWithApplied(request)
			So(member.Put(ctx, 0, body), ShouldResemble, acceptedOutcome(5))
			So(member.Put(ctx, 5, body).Kind, ShouldEqual, Invalid)
		})
	}
}
