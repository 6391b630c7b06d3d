package register

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// A member that lost its disk must not be rebuilt while a round is running that counted a reply from before the disk loss.
// Otherwise, another member could accept the state of that round after its tables were copied, and the copies would lack it.
func TestRebuildWaitsForOpenRounds(t *testing.T) {
	const (
		acceptDelay = RoundLimit - 200*time.Millisecond // delay of an accept request that still arrives within the round limit
		answerTime  = 100 * time.Millisecond            // by this time, all other members have replied
	)
	var changed, read []byte
	var changeErr, readErr error
	virtualtime.Test(t, func(*testing.T) {
		c := newCluster(1, 3, nil)
		c.network.AddRule(networktest.Rule{From: "elsewhere", To: "member-0", Path: acceptCall(testRegister).Path(), Delay: acceptDelay, MaxMatches: 1})
		c.network.AddRule(networktest.Rule{From: "elsewhere", To: "member-2", Path: acceptCall(testRegister).Path(), Drop: true, MaxMatches: 1})
		done := make(chan struct{})
		go func() {
			defer close(done)
			changed, changeErr = c.proposer("elsewhere", nil).Change(c.ctx, func([]byte) ([]byte, error) { return []byte("a"), nil })
		}()
		<-time.After(answerTime)
		c.restart("member-1", 0, true)
		<-done
		<-c.process("member-1").rebuilder.Complete()
		c.network.Partition("member-0", true)
		ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
		read, readErr = c.proposer("reader", nil).Read(ctx)
		cancel()
		c.shutdown()
	})
	convey.Convey("A value that was committed with a reply from the lost disk is read after the rebuild", t, func() {
		convey.So(changeErr, convey.ShouldBeNil)
		convey.So(string(changed), convey.ShouldEqual, "a")
		convey.So(readErr, convey.ShouldBeNil)
		convey.So(string(read), convey.ShouldEqual, "a")
	})
}
