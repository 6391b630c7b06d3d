package register

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// A member that lost its disk must not be rebuilt while a round is open that counted one of its former answers: the
// others may accept what that round decides only after they gave their copies.
func TestRebuildWaitsForOpenRounds(t *testing.T) {
	const (
		slow  = RoundLimit - 200*time.Millisecond // delay of a request that still arrives in time
		taken = 100 * time.Millisecond            // by then the others have answered
	)
	var changed, read []byte
	var changeErr, readErr error
	virtualtime.Test(t, func(*testing.T) {
		c := newCluster(1, 3, nil)
		c.network.AddRule(networktest.Rule{From: "elsewhere", To: "member-0", Path: acceptCall(testRegister).Path(), Delay: slow, MaxMatches: 1})
		c.network.AddRule(networktest.Rule{From: "elsewhere", To: "member-2", Path: acceptCall(testRegister).Path(), Drop: true, MaxMatches: 1})
		done := make(chan struct{})
		go func() {
			defer close(done)
			changed, changeErr = c.proposer("elsewhere", nil).Change(c.ctx, func([]byte) ([]byte, error) { return []byte("a"), nil })
		}()
		<-time.After(taken)
		c.restart("member-1", 0, true)
		<-done
		<-c.process("member-1").rebuilder.Complete()
		c.network.Partition("member-0", true)
		ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
		read, readErr = c.proposer("reader", nil).Read(ctx)
		cancel()
		c.end()
	})
	convey.Convey("A value that was committed with an answer of the lost disk is read once the disk is rebuilt", t, func() {
		convey.So(changeErr, convey.ShouldBeNil)
		convey.So(string(changed), convey.ShouldEqual, "a")
		convey.So(readErr, convey.ShouldBeNil)
		convey.So(string(read), convey.ShouldEqual, "a")
	})
}
