package inventory

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

const testTimeout = 20 * time.Second

// newTestReader returns a cluster with the given number of workers, its platform and a reader of the worker list.
func newTestReader(workers int, config cluster.PlatformConfig) (*cluster.Cluster, *cluster.Platform, *Reader) {
	c := cluster.New(cluster.RealClock{}, cluster.Settings{})
	for i := range workers {
		c.AddWorker(cluster.WorkerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "kursmotor", Zone: "hal-nord", Version: "v1", Slots: 8,
			Capacity: job.Resources{Processors: 32000, MemoryMB: 65536}, Labels: []string{"a", "r1-3"},
		})
	}
	platform := c.AddPlatform(config)
	client := &http.Client{Transport: &http.Transport{}}
	convey.Reset(func() {
		client.CloseIdleConnections()
		c.Close()
	})
	return c, platform, &Reader{Address: platform.Address(), RatePerSecond: config.RatePerSecond, HTTP: client}
}

func TestReadAllReturnsCompleteListOrError(t *testing.T) {
	convey.Convey("Given a worker list of several pages", t, func() {
		c, platform, reader := newTestReader(7, cluster.PlatformConfig{PageSize: 3})
		convey.Convey("all pages are read, each once", func() {
			instances, pages, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pages, convey.ShouldEqual, 3)
			convey.So(platform.Calls(), convey.ShouldEqual, 3)
			convey.So(instances, convey.ShouldHaveLength, 7)
			address := instances[6].Address
			convey.So(address, convey.ShouldNotBeEmpty)
			convey.So(instances[6], convey.ShouldResemble, workerclient.Instance{
				ID: "i-6", Service: "kursmotor", Address: address, Zone: "hal-nord", Version: "v1", Slots: 8,
				Capacity: job.Resources{Processors: 32000, MemoryMB: 65536}, Labels: []string{"a", "r1-3"},
			})
		})
		convey.Convey("a draining worker is marked as such, with its remaining time", func() {
			draining := c.AddWorker(cluster.WorkerConfig{ID: "i-7"})
			draining.Drain(time.Hour)
			instances, _, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(instances[7].Draining, convey.ShouldBeTrue)
			convey.So(instances[7].RemainingMS, convey.ShouldBeBetween, 3_000_000, 3_600_001)
		})
		convey.Convey("OnPage receives each page until the first list was read completely", func() {
			var pageSizes []int
			reader.OnPage = func(instances []workerclient.Instance) { pageSizes = append(pageSizes, len(instances)) }
			reader.ReadAll(t.Context())
			reader.ReadAll(t.Context())
			convey.So(pageSizes, convey.ShouldResemble, []int{3, 3, 1})
		})
		convey.Convey("a page whose call fails is requested again, without the pages before it", func() {
			var calls atomic.Int64 // atomic, as an aborted call and the next one are handled by different goroutines
			flaky := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if call := calls.Add(1); call == 2 || call == 4 {
					panic(http.ErrAbortHandler)
				}
				platform.ServeHTTP(w, r)
			}))
			convey.Reset(flaky.Close)
			reader.Address, reader.RatePerSecond = flaky.Listener.Addr().String(), 0
			instances, _, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(instances, convey.ShouldHaveLength, 7)
			convey.So(platform.Calls(), convey.ShouldEqual, 3)
		})
		convey.Convey("an error status is returned as an error", func() {
			platform.SetFailureStatus(http.StatusTooManyRequests)
			_, _, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldWrap, ErrRateLimited)
			platform.SetFailureStatus(http.StatusInternalServerError)
			_, _, err = reader.ReadAll(t.Context())
			var statusErr *StatusError
			convey.So(errors.As(err, &statusErr), convey.ShouldBeTrue)
			convey.So(statusErr.Status, convey.ShouldEqual, http.StatusInternalServerError)
		})
	})
	convey.Convey("If the platform sends malformed responses, ReadAll returns an error", t, func() {
		var body atomic.Pointer[string]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(*body.Load()))
		}))
		convey.Reset(server.Close)
		reader := &Reader{Address: server.Listener.Addr().String(), HTTP: server.Client()}
		for _, malformed := range []string{``, `{}`, `{"instances":null}`, `{"instances":[{}],"nextPageToken":"again"}`} {
			body.Store(&malformed)
			_, _, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldNotBeNil)
		}
		convey.Convey("but entries without an identifier or an address are skipped, and duplicates are dropped", func() {
			unusable := `{"instances":[{},{"identifier":"i-1","address":"a:1","labels":"gpu"},{"identifier":"i-1","address":"a:1"}]}`
			body.Store(&unusable)
			instances, pages, err := reader.ReadAll(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pages, convey.ShouldEqual, 1)
			convey.So(instances, convey.ShouldHaveLength, 1)
			convey.So(instances[0].Labels, convey.ShouldResemble, []string{"gpu"})
		})
	})
}

func TestRunDeliversEachCompleteList(t *testing.T) {
	convey.Convey("Given a running reader", t, func() {
		_, platform, reader := newTestReader(2, cluster.PlatformConfig{})
		delivered := make(chan []workerclient.Instance)
		ctx, cancel := context.WithCancel(t.Context())
		returned := make(chan struct{})
		run := func(interval time.Duration) {
			go func() {
				reader.Run(ctx, interval, func(instances []workerclient.Instance) {
					select {
					case delivered <- instances:
					case <-ctx.Done():
					}
				})
				close(returned)
			}()
		}
		convey.Reset(func() {
			cancel()
			<-returned
		})
		next := func() []workerclient.Instance {
			select {
			case list := <-delivered:
				return list
			case <-time.After(testTimeout):
				t.Fatal("no worker list was delivered in time")
				return nil
			}
		}
		convey.Convey("each complete list is delivered", func() {
			run(time.Millisecond)
			convey.So(next(), convey.ShouldHaveLength, 2)
			convey.So(next(), convey.ShouldHaveLength, 2)
		})
		convey.Convey("the list is read once per interval", func() {
			run(time.Hour)
			convey.So(next(), convey.ShouldHaveLength, 2)
			convey.So(platform.Calls(), convey.ShouldEqual, 1)
		})
		convey.Convey("after a failure the list is read again, and nothing is delivered in between", func() {
			statuses := make(chan int)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if status := <-statuses; status != http.StatusOK {
					w.WriteHeader(status)
					return
				}
				platform.ServeHTTP(w, r)
			}))
			convey.Reset(server.Close)
			reader.Address = server.Listener.Addr().String()
			startedAt := time.Now()
			run(time.Hour)
			statuses <- http.StatusServiceUnavailable
			statuses <- http.StatusOK
			convey.So(next(), convey.ShouldHaveLength, 2)
			convey.So(time.Since(startedAt), convey.ShouldBeGreaterThan, initialBackoff*6/10)
		})
	})
}

func TestReadIntervalGrowsWithPageCount(t *testing.T) {
	convey.Convey("The interval between reads grows with the number of pages", t, func() {
		reader := &Reader{RatePerSecond: 30}
		convey.So(reader.readInterval(time.Second, 1), convey.ShouldEqual, time.Second)
		convey.So(reader.readInterval(time.Second, 60), convey.ShouldBeBetween, 3900*time.Millisecond, 4100*time.Millisecond)
		convey.So((&Reader{}).readInterval(time.Second, 60), convey.ShouldEqual, time.Second)
	})
}
