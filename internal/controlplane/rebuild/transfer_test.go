package rebuild_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	maxMessageBytes = 300 << 10 // more than a chunk with its frame, and far less than the tables of these tests
	largeKeys       = 3000
)

// fill writes tables of 1.5 MB, in which the values of all keys are of the same byte.
func fill(store *storage.Memory, fillByte byte) {
	changes := make([]storage.Change, largeKeys)
	for i := range changes {
		changes[i] = set("data/large", fmt.Sprint(i), strings.Repeat(string(fillByte), 500))
	}
	store.Write(changes...)
}

// countByFill counts the keys by the byte of their values.
func countByFill(store *storage.Memory) map[byte]int {
	counts := make(map[byte]int)
	for _, value := range store.Table("data/large") {
		counts[value[0]]++
	}
	return counts
}

// countingHandler serves a member's calls, and records the number of replies and the size of the largest.
type countingHandler struct {
	mutex        sync.Mutex
	handler      http.Handler
	largestReply int
	replies      int
	afterReply   func(replies int) // called after each reply, where set
}

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	h.largestReply = max(h.largestReply, recorder.Body.Len())
	h.replies++
	maps.Copy(w.Header(), recorder.Header())
	w.WriteHeader(recorder.Code)
	w.Write(recorder.Body.Bytes())
	if h.afterReply != nil {
		h.afterReply(h.replies)
	}
}

// rebuildThird rebuilds the third member from two others with large tables, after prepare. It returns the third member's store,
// the others' handlers, and whether the rebuild ended.
func rebuildThird(t *testing.T, prepare func(c *cluster, stores []*storage.Memory, donors []*countingHandler)) (store *storage.Memory, donors []*countingHandler, ready bool) {
	t.Helper()
	store = storage.NewMemory()
	inCluster(t, 3, func(c *cluster) {
		var stores []*storage.Memory
		for _, self := range c.views.view.Members[:2] {
			other := storage.NewMemory()
			fill(other, 'a')
			donor := &countingHandler{handler: c.serveFrom(self, other)}
			c.network.Serve(self, donor)
			stores, donors = append(stores, other), append(donors, donor)
		}
		prepare(c, stores, donors)
		rebuilder := c.start("member-2", store, false)
		c.run(rebuilder)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	return store, donors, ready
}

func TestSnapshotsAreTransferredInChunks(t *testing.T) {
	store, donors, ready := rebuildThird(t, func(*cluster, []*storage.Memory, []*countingHandler) {})
	convey.Convey("Tables larger than a message are rebuilt, and no message carries more than a chunk", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
		for _, donor := range donors {
			convey.So(donor.largestReply, convey.ShouldBeLessThan, maxMessageBytes)
			convey.So(donor.replies, convey.ShouldBeGreaterThan, 4)
		}
	})
}

func TestLostAndDuplicatedChunks(t *testing.T) {
	store, _, ready := rebuildThird(t, func(c *cluster, _ []*storage.Memory, _ []*countingHandler) {
		c.network.SetFaults(networktest.Faults{LossProbability: 0.1, DuplicateProbability: 0.3, MaxDelay: 50 * time.Millisecond, LateProbability: 0.1, MaxLateDelay: 4 * time.Second})
	})
	convey.Convey("Chunks that are lost, duplicated or late do no harm", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
}

func TestASnapshotIsOfOneInstant(t *testing.T) {
	convey.Convey("What is written during the transfer of a snapshot is not in it", t, func() {
		store, donors, ready := rebuildThird(t, func(_ *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						fill(stores[i], 'b')
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
	convey.Convey("A donor that restarts during the transfer gives no chunk of another snapshot", t, func() {
		store, donors, ready := rebuildThird(t, func(c *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						fill(stores[i], 'b')
						donor.handler = c.serveFrom(c.views.view.Members[i], stores[i])
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'b': largeKeys})
	})
	convey.Convey("A member that restarts its rebuild gets no chunk of its earlier snapshot", t, func() {
		store, _, ready := rebuildThird(t, func(c *cluster, stores []*storage.Memory, donors []*countingHandler) {
			earlier := c.start("member-2", storage.NewMemory(), false)
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						fill(stores[i], 'b')
						c.run(earlier)
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(countByFill(store)), convey.ShouldEqual, 1)
	})
}
