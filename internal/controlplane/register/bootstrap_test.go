package register

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestConcurrentFoundersCommitOneView(t *testing.T) {
	founders := []string{"a", "b", "c"}
	committed := make([]replicaset.View, len(founders))
	errs := make([]error, len(founders))
	virtualtime.Test(t, func(*testing.T) {
		network := networktest.New(1)
		network.SetFaults(networktest.Faults{MaxDelay: 20 * time.Millisecond})
		var running sync.WaitGroup
		for i, self := range founders {
			bootstrap := NewBootstrap(BootstrapConfig{
				Self:     self,
				Store:    storage.NewMemory(),
				Ready:    func() bool { return true },
				Founders: func() []string { return founders },
				Caller:   network.Caller(self),
			})
			mux := transport.NewMux()
			bootstrap.Serve(mux)
			network.Serve(self, mux)
			running.Go(func() {
				<-time.After(time.Millisecond) // all founders serve requests by then
				proposed := replicaset.View{Version: 1, Members: append([]string{"proposed by " + self}, founders...)}
				committed[i], errs[i] = bootstrap.Commit(context.Background(), proposed)
			})
		}
		running.Wait()
		<-time.After(drainTime)
	})
	convey.Convey("Founders that propose different views concurrently get the same committed view", t, func() {
		convey.So(errs, convey.ShouldResemble, make([]error, len(founders)))
		convey.So(committed[0].Members, convey.ShouldHaveLength, 4)
		convey.So(committed[1], convey.ShouldResemble, committed[0])
		convey.So(committed[2], convey.ShouldResemble, committed[0])
	})
}
