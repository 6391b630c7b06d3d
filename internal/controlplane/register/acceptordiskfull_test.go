package register

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestAcceptorWithFailingWritesStoresNoVote(t *testing.T) {
	convey.Convey("Given an acceptor that has accepted a state and whose disk then rejects writes", t, func() {
		store := storage.NewMemory()
		acceptor := readyAcceptor(store, func() replicaset.View { return replicaset.View{Version: 1, Members: []string{"a"}} })
		first := ProposalNumber{Counter: 1, Member: "a"}
		accepted := state{}.next([]byte("accepted"), first)
		answer, err := acceptor.accept(context.Background(), acceptRequest{ViewVersion: 1, ProposalNumber: first, State: accepted})
		convey.So(err, convey.ShouldBeNil)
		convey.So(answer.Outcome, convey.ShouldEqual, granted)
		before := store.Snapshot()
		store.Fail(rpcerror.WrapNotExecuted(errors.New("no space left on device"), time.Second))

		second := ProposalNumber{Counter: 2, Member: "b"}
		prepare := prepareRequest{ViewVersion: 1, ProposalNumber: second}
		accept := acceptRequest{ViewVersion: 1, ProposalNumber: second, State: accepted.next([]byte("rejected"), second)}
		checkRefused := func(err error) {
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			convey.So(rpcerror.RetryAfter(err), convey.ShouldEqual, time.Second)
			convey.So(store.Snapshot(), convey.ShouldResemble, before)
		}
		convey.Convey("a prepare request stores no promise and succeeds once writes succeed again", func() {
			_, err := acceptor.prepare(context.Background(), prepare)
			checkRefused(err)
			store.Fail(nil)
			answer, err := acceptor.prepare(context.Background(), prepare)
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Outcome, convey.ShouldEqual, granted)
			convey.So(answer.State, convey.ShouldResemble, accepted)
		})
		convey.Convey("an accept request stores nothing, and reads still succeed", func() {
			_, err := acceptor.accept(context.Background(), accept)
			checkRefused(err)
			answer, err := acceptor.read(context.Background(), readRequest{ViewVersion: 1})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.State, convey.ShouldResemble, accepted)
		})
		convey.Convey("an accept request may have been executed if the store has failed permanently", func() {
			store.Fail(errors.New("broken"))
			_, err := acceptor.accept(context.Background(), accept)
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.MayHaveExecuted)
		})
	})
}
