package cluster

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestMemoryClientDeliversCallsFaultsAndDelays(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := New(RealClock{}, Settings{MaxLease: testMaxLease, InMemory: true})
		defer c.Close()
		worker := c.AddWorker(WorkerConfig{ID: "i-1"})
		client := c.MemoryClient(3 * time.Millisecond)
		pollWorker := func() (status int, err error) {
			request, _ := http.NewRequest(http.MethodPost, "http://"+worker.Address()+string(LeaseCall), strings.NewReader(`{}`))
			request.Header.Set("Expect-Instance", "i-1")
			answer, err := client.Do(request)
			if err != nil {
				return 0, err
			}
			return answer.StatusCode, answer.Body.Close()
		}
		convey.Convey("Calls reach a worker without sockets", t, func() {
			began := time.Now()
			status, err := pollWorker()
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(time.Since(began), convey.ShouldEqual, 3*time.Millisecond)

			worker.SetFaults(OnEveryCall(Fault{Kind: DelayAnswer, Delay: time.Second}))
			_, err = pollWorker()
			convey.So(err, convey.ShouldBeNil)
			convey.So(time.Since(began), convey.ShouldEqual, 1006*time.Millisecond)

			worker.SetFaults(OnEveryCall(Fault{Kind: ResetConnection}))
			_, err = pollWorker()
			convey.So(err, convey.ShouldWrap, errReset)
			worker.Leave()
			_, err = pollWorker()
			convey.So(err, convey.ShouldWrap, errRefused)
		})
	})
}
