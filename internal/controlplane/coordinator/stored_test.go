package coordinator

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	storedDirectory       = "testdata/stored"
	updateVariable        = "GOLDEN_UPDATE"     // if it is 1, the stored data is written again
	storedInternalAddress = "127.201.17.5:7660" // part of the stored view
	storedControlAddress  = "127.201.17.5:7664"
	storedTimeout         = 30 * time.Second

	queuedJob     = job.ID("00000000000000a1")
	cancelledJob  = job.ID("00000000000000a2")
	queuedMailJob = job.ID("00000000000000a3")
)

// storedConfiguration returns a configuration that is long enough to be stored in chunks.
func storedConfiguration(version int) []byte {
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range 30 {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"name":"r-%d","host":"jobs.example","pathPrefix":"/%d/","kind":"non_idempotent",`+
			`"timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":3,"extension":2.5}`, i, i*i, []string{"render", "mail"}[i%2])
	}
	return fmt.Append(text, `],"services":[{"name":"render","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":true},`+
		`{"name":"mail","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}

// withRunningCoordinator runs a coordinator on a data directory while use runs.
func withRunningCoordinator(t *testing.T, directory string, firstStart bool, use func(ctx context.Context, c *Coordinator)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), storedTimeout)
	defer cancel()
	settings, err := nodesettings.Parse(fmt.Appendf(nil, "nodeName=core-1\nipAddress=127.201.17.5\nzone=north\nregion=east\nzones.north=east\n"+
		"internalPortRange=7660,7675\nseedNodes=%s\nfirstStart=%v\nfaultTolerance.machines=0\nlimits.memoryMb=284\nlimits.fileDescriptors=4100\n"+
		"bounds.gracePeriodS=4\nbounds.holdMaxMs=2000\nbounds.stop_ms=400\ncloudApi.address=127.201.17.5:7670\ncloudApi.ratePerS=30\n"+
		"dataDirectory=%s\ncountsForQuorum=true\n", storedControlAddress, firstStart, directory))
	if err != nil {
		t.Fatal(err)
	}
	listen := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	listeners := Listeners{Internal: listen(storedInternalAddress), Control: listen(storedControlAddress)}
	c, err := New(settings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(running, listeners) }()
	defer func() { // also if the test fails before its end
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	use(ctx, c)
}

// retryUntilDone repeats an attempt until it succeeds.
func retryUntilDone(ctx context.Context, t *testing.T, attempt func() error) {
	t.Helper()
	for {
		err := attempt()
		if err == nil {
			return
		}
		if !timer.Sleep(ctx, 50*time.Millisecond) {
			t.Fatal(err)
		}
	}
}

func writeStoredData(t *testing.T) {
	t.Helper()
	os.RemoveAll(storedDirectory)
	withRunningCoordinator(t, storedDirectory, true, func(ctx context.Context, c *Coordinator) {
		for version := 1; version <= 2; version++ {
			retryUntilDone(ctx, t, func() error {
				outcome := c.configurator.Put(ctx, uint64(version-1), storedConfiguration(version))
				if outcome.Kind == configuration.Accepted {
					return nil
				}
				return fmt.Errorf("configuration %d: %+v", version, outcome)
			})
		}
		submit := func(id job.ID, service string) {
			request := jobapi.SubmitRequest{Group: feed.GroupOf(service), ID: id,
				Queue:         jobapi.Queue{Route: "r-0", Service: service, Priority: 1, MaxAttempts: 3, Extension: 2.5, TargetLatencyMS: 1000, EnforcesCapacity: true},
				Specification: job.Specification{Text: "do it", Stages: []job.Stage{{Count: 2, Resources: job.Resources{Processors: 500}}}}}
			retryUntilDone(ctx, t, func() error {
				_, err := jobapi.SubmitCall.Call(ctx, c.caller, storedInternalAddress, request)
				return err
			})
		}
		submit(queuedJob, "render")
		submit(cancelledJob, "render")
		submit(queuedMailJob, "mail")
		retryUntilDone(ctx, t, func() error {
			_, err := jobapi.CancelCall.Call(ctx, c.caller, storedInternalAddress, jobapi.CancelRequest{Group: feed.GroupOf("render"), ID: cancelledJob})
			return err
		})
	})
}

// TestCoordinatorRestoresStateStoredByEarlierBuild starts a coordinator on the data directory of an earlier build. The contents
// of each table are checked by the tests of the package that owns it. This test checks that a whole coordinator starts with
// all of them.
func TestCoordinatorRestoresStateStoredByEarlierBuild(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		writeStoredData(t)
	}
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(storedDirectory)); err != nil {
		t.Fatal(err)
	}
	states := map[job.ID]jobapi.StatusReply{}
	pending := map[string]int{}
	var view replicaset.View
	var version uint64
	var body []byte
	var tables []string
	withRunningCoordinator(t, directory, false, func(ctx context.Context, c *Coordinator) {
		tables, view = c.store.Tables(), c.replicaSet.View()
		retryUntilDone(ctx, t, func() (err error) { version, body, err = c.configurator.Read(ctx); return err })
		for id, service := range map[job.ID]string{queuedJob: "render", cancelledJob: "render", queuedMailJob: "mail"} {
			retryUntilDone(ctx, t, func() (err error) {
				states[id], err = jobapi.StatusCall.Call(ctx, c.caller, storedInternalAddress, jobapi.StatusRequest{Group: feed.GroupOf(service), ID: id})
				return err
			})
			retryUntilDone(ctx, t, func() error {
				reply, err := jobapi.PendingCall.Call(ctx, c.caller, storedInternalAddress, jobapi.PendingRequest{Group: feed.GroupOf(service), Route: "r-0"})
				pending[service] = reply.Count
				return err
			})
		}
	})
	Convey("A coordinator starts on the data directory of an earlier build and has its whole state", t, func() {
		So(tables, ShouldResemble, []string{
			"group-meta/jobs/mail", "group-meta/jobs/render", "group/jobs/mail", "group/jobs/render", "rebuild",
			"register/configuration", "register/configuration/parts", "register/replicaset/founding", "replicaset",
		})
		So(view, ShouldResemble, replicaset.View{Version: 1, Members: []string{storedInternalAddress}, Zones: map[string]string{storedInternalAddress: "north"}})
		So(version, ShouldEqual, 2)
		So(string(body), ShouldEqual, string(storedConfiguration(2)))
		So(states, ShouldResemble, map[job.ID]jobapi.StatusReply{
			queuedJob: {Known: true, State: job.Queued}, cancelledJob: {Known: true, State: job.Cancelled}, queuedMailJob: {Known: true, State: job.Queued},
		})
		So(pending, ShouldResemble, map[string]int{"render": 1, "mail": 1})
	})
}
