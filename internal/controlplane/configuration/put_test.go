package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPutAppliesOnlyUpdatesOfTheCurrentVersion(t *testing.T) {
	ctx := context.Background()
	Convey("Given an empty register", t, func() {
		register := &fakeRegister{}
		configurator := newConfigurator(register)
		put := func(ifMatch uint64, body []byte) Outcome { return configurator.Put(ctx, ifMatch, body) }

		Convey("The first configuration is accepted and in force", func() {
			changed := configurator.Changed()
			outcome := put(0, bodyOf(5, 1000))
			So(outcome, ShouldResemble, Outcome{Kind: Accepted, Version: 5})
			<-changed
			version, body := configurator.Current()
			So(version, ShouldEqual, 5)
			So(string(body), ShouldEqual, string(bodyOf(5, 1000)))
			So(configurator.Fresh(time.Hour), ShouldBeTrue)
		})
		Convey("An update based on a version that is not in force is neither applied nor rejected, and leaves the register readable", func() {
			So(put(3, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Unclear, Err: ErrBaseNotInForce})
			version, _, err := configurator.Read(ctx)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, 0)

			Convey("it is applied when it is sent again after that version came into force", func() {
				So(put(0, bodyOf(3, 1000)).Kind, ShouldEqual, Accepted)
				So(put(3, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
			})
			Convey("it is rejected once a later version is in force", func() {
				So(put(0, bodyOf(4, 1000)).Kind, ShouldEqual, Accepted)
				So(put(3, bodyOf(5, 1000)).Kind, ShouldEqual, Conflict)
			})
		})
		Convey("After a configuration", func() {
			So(put(0, bodyOf(5, 1000)).Kind, ShouldEqual, Accepted)
			before := register.changeCount()

			Convey("the same update is accepted again, without a change of the register", func() {
				So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
				So(register.changeCount(), ShouldEqual, before)
			})
			Convey("the same update is accepted again after later ones, also by another member", func() {
				So(put(5, bodyOf(9, 1000)).Kind, ShouldEqual, Accepted)
				So(put(9, bodyOf(12, 1000)).Kind, ShouldEqual, Accepted)
				So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
				otherMember := newConfigurator(register)
				So(otherMember.Put(ctx, 0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
				So(otherMember.Put(ctx, 5, bodyOf(9, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 9})
				version, _ := otherMember.Current()
				So(version, ShouldEqual, 12)
			})
			Convey("another body with the same version conflicts", func() {
				So(put(0, bodyOf(5, 2000)), ShouldResemble, conflictOutcome(5))
			})
			Convey("an older If-Match conflicts after a quorum read, without a change of the register", func() {
				So(put(5, bodyOf(9, 1000)).Kind, ShouldEqual, Accepted)
				before, reads := register.changeCount(), register.reads
				So(put(5, bodyOf(11, 1000)), ShouldResemble, conflictOutcome(9))
				So(register.changeCount(), ShouldEqual, before)
				So(register.reads, ShouldEqual, reads+1)
			})
			Convey("an older If-Match conflicts with the committed version, not with the cached one", func() {
				So(newConfigurator(register).Put(ctx, 5, bodyOf(9, 1000)).Kind, ShouldEqual, Accepted)
				So(put(0, bodyOf(11, 1000)), ShouldResemble, conflictOutcome(9))
			})
			Convey("a member without a majority rejects nothing, and confirms the updates in its cached history", func() {
				register.unavailable = true
				So(put(0, bodyOf(11, 1000)).Kind, ShouldEqual, Unavailable)
				So(put(5, bodyOf(11, 1000)).Kind, ShouldEqual, Unavailable)
				So(put(9, bodyOf(11, 1000)).Kind, ShouldEqual, Unavailable)
				So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
			})
			Convey("an older If-Match conflicts at a member with an empty cache", func() {
				So(newConfigurator(register).Put(ctx, 0, bodyOf(11, 1000)), ShouldResemble, conflictOutcome(5))
			})
			Convey("an invalid update is rejected without a change of the register, whatever its If-Match", func() {
				for _, ifMatch := range []uint64{0, 5, 77} {
					So(put(ifMatch, bodyOf(9, 0)).Kind, ShouldEqual, Invalid)
					So(put(ifMatch, bodyOf(9, 1000)[:40]).Kind, ShouldEqual, Invalid)
				}
				So(register.changeCount(), ShouldEqual, before)
				version, _ := configurator.Current()
				So(version, ShouldEqual, 5)
			})
			Convey("a version that is not above the current one is rejected", func() {
				So(put(5, bodyOf(5, 2000)).Kind, ShouldEqual, Invalid)
				So(put(5, bodyOf(4, 1000)).Kind, ShouldEqual, Invalid)
				So(put(5, bodyOf(4, 1000)).Err.Error(), ShouldContainSubstring, "above the current version 5")
			})
		})
		Convey("Without a majority the outcome of an update is Unavailable, and it is not in force", func() {
			register.unavailable = true
			outcome := put(0, bodyOf(5, 1000))
			So(outcome.Kind, ShouldEqual, Unavailable)
			So(outcome.RetryAfter, ShouldEqual, 70*time.Millisecond)
			version, _ := configurator.Current()
			So(version, ShouldEqual, 0)
			So(configurator.Fresh(time.Hour), ShouldBeFalse)
		})
		Convey("The outcome of an update whose answer was lost is Unclear, and it is accepted when it is sent again", func() {
			register.loseReplies = true
			So(put(0, bodyOf(5, 1000)).Kind, ShouldEqual, Unclear)
			So(put(0, bodyOf(5, 1000)).Kind, ShouldEqual, Unclear)
			register.loseReplies = false
			So(newConfigurator(register).Put(ctx, 0, bodyOf(6, 1000)), ShouldResemble, conflictOutcome(5))
			So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
			state, err := DecodeState(register.value)
			So(err, ShouldBeNil)
			So(len(state.Applied), ShouldEqual, 1)
		})
		Convey("The outcome of an update that was lost is Unclear, and it is applied when it is sent again", func() {
			register.loseChanges = true
			So(put(0, bodyOf(5, 1000)).Kind, ShouldEqual, Unclear)
			register.loseChanges = false
			So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
		})
		Convey("An update that is applied to its own result is recorded once", func() {
			register.modifyTwice = true
			So(put(0, bodyOf(5, 1000)), ShouldResemble, Outcome{Kind: Accepted, Version: 5})
			state, err := DecodeState(register.value)
			So(err, ShouldBeNil)
			So(len(state.Applied), ShouldEqual, 1)
		})
		Convey("A register value that cannot be decoded is not changed", func() {
			register.value = []byte("\xc1 no state")
			So(put(0, bodyOf(5, 1000)).Kind, ShouldEqual, Unavailable)
			So(string(register.value), ShouldEqual, "\xc1 no state")
			_, _, err := configurator.Read(ctx)
			So(err, ShouldNotBeNil)
		})
	})
}

func TestConcurrentPutsAcceptOnePerVersion(t *testing.T) {
	Convey("Of the updates based on one version, exactly one is accepted and the others conflict", t, func() {
		register := &fakeRegister{}
		nodes := []*Configurator{newConfigurator(register), newConfigurator(register), newConfigurator(register)}
		current := uint64(0)
		for range 20 {
			outcomes := make([]Outcome, 8)
			var racing sync.WaitGroup
			for i := range outcomes {
				racing.Go(func() {
					body := bodyOf(int(current)+1+i%2, 1000+i)
					outcomes[i] = nodes[i%len(nodes)].Put(context.Background(), current, body)
				})
			}
			racing.Wait()
			counts := make(map[OutcomeKind]int)
			next := current
			for _, outcome := range outcomes {
				counts[outcome.Kind]++
				if outcome.Kind == Accepted {
					next = outcome.Version
				}
			}
			So(counts, ShouldResemble, map[OutcomeKind]int{Accepted: 1, Conflict: 7})
			current = next
		}
	})
}

func TestPutWaitsForEarlierChanges(t *testing.T) {
	Convey("Given an update in progress", t, func() {
		register := &fakeRegister{changeStarted: make(chan struct{}), continueChange: make(chan struct{})}
		configurator := newConfigurator(register)
		first := make(chan Outcome, 1)
		go func() { first <- configurator.Put(context.Background(), 0, bodyOf(5, 1000)) }()
		<-register.changeStarted

		Convey("a second one whose context ends first is not applied", func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			So(configurator.Put(ended, 0, bodyOf(6, 1000)).Kind, ShouldEqual, Unavailable)
			close(register.continueChange)
			So((<-first).Kind, ShouldEqual, Accepted)
		})
		Convey("the same update is accepted without another change of the register, and a different update conflicts", func() {
			same, other := make(chan Outcome, 1), make(chan Outcome, 1)
			go func() { same <- configurator.Put(context.Background(), 0, bodyOf(5, 1000)) }()
			go func() { other <- configurator.Put(context.Background(), 0, bodyOf(6, 1000)) }()
			close(register.continueChange)
			So((<-first).Kind, ShouldEqual, Accepted)
			So((<-same).Kind, ShouldEqual, Accepted)
			So((<-other).Kind, ShouldEqual, Conflict)
			So(register.changeCount(), ShouldEqual, 1)
		})
	})
}

func TestAppliedHistoryIsBounded(t *testing.T) {
	Convey("Only the newest updates are kept in the history", t, func() {
		state := State{}
		for version := range maxAppliedHistory + 10 {
			request := newUpdateRequest(uint64(version), fmt.Appendf(nil, "body %d", version))
			request.version = uint64(version) + 1
			state = state.apply(request, nil)
		}
		So(len(state.Applied), ShouldEqual, maxAppliedHistory)
		So(state.Applied[0].Version, ShouldEqual, 11)
		value, err := state.Encode()
		So(err, ShouldBeNil)
		decoded, err := DecodeState(value)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, state)
		_, found := decoded.findApplied(newUpdateRequest(10, []byte("body 10")))
		So(found, ShouldBeTrue)
		_, found = decoded.findApplied(newUpdateRequest(9, []byte("body 9")))
		So(found, ShouldBeFalse)
		_, found = decoded.findApplied(newUpdateRequest(11, []byte("body 10")))
		So(found, ShouldBeFalse)
	})
}
