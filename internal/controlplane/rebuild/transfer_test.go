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
	maxMessageBytes = 300 << 10 // larger than an encoded chunk, and much smaller than the tables of these tests
	largeKeys       = 3000
)

// writeLargeTable writes a table of 1.5 MB. All values consist of fillByte.
func writeLargeTable(store *storage.Memory, fillByte byte) {
	changes := make([]storage.Change, largeKeys)
	for i := range changes {
		changes[i] = setChange("data/large", fmt.Sprint(i), strings.Repeat(string(fillByte), 500))
	}
	store.Write(changes...)
}

// countByFillByte counts the keys of the large table by the fill byte of their values.
func countByFillByte(store *storage.Memory) map[byte]int {
	counts := make(map[byte]int)
	for _, value := range store.Table("data/large") {
		counts[value[0]]++
	}
	return counts
}

// countingHandler serves a member's calls, and records the number of replies and the size of the largest reply.
type countingHandler struct {
	mutex        sync.Mutex
	handler      http.Handler
	largestReply int
	replies      int
	afterReply   func(replies int) // if not nil, called after each reply
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

// rebuildThirdMember starts two members with large tables, calls prepare, and rebuilds the third member from them. It returns the
// third member's store, the handlers of the donors, and whether the third member is ready after one minute.
func rebuildThirdMember(t *testing.T, prepare func(c *cluster, stores []*storage.Memory, donors []*countingHandler)) (store *storage.Memory, donors []*countingHandler, ready bool) {
	t.Helper()
	store = storage.NewMemory()
	inCluster(t, 3, func(c *cluster) {
		var stores []*storage.Memory
		for _, self := range c.views.view.Members[:2] {
			other := storage.NewMemory()
			writeLargeTable(other, 'a')
			donor := &countingHandler{handler: c.newCompleteMux(self, other)}
			c.network.Serve(self, donor)
			stores, donors = append(stores, other), append(donors, donor)
		}
		prepare(c, stores, donors)
		rebuilder := c.startInFixedView("member-2", store, false)
		c.runInBackground(rebuilder)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	return store, donors, ready
}

func TestLargeSnapshotIsTransferredInChunks(t *testing.T) {
	store, donors, ready := rebuildThirdMember(t, func(*cluster, []*storage.Memory, []*countingHandler) {})
	convey.Convey("Tables larger than a message are rebuilt, and no message contains more than a chunk", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFillByte(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
		for _, donor := range donors {
			convey.So(donor.largestReply, convey.ShouldBeLessThan, maxMessageBytes)
			convey.So(donor.replies, convey.ShouldBeGreaterThan, 4)
		}
	})
}

func TestLostAndDuplicatedChunksAreTolerated(t *testing.T) {
	store, _, ready := rebuildThirdMember(t, func(c *cluster, _ []*storage.Memory, _ []*countingHandler) {
		c.network.SetFaults(networktest.Faults{LossProbability: 0.1, DuplicateProbability: 0.3, MaxDelay: 50 * time.Millisecond, LateProbability: 0.1, MaxLateDelay: 4 * time.Second})
	})
	convey.Convey("The rebuild succeeds although chunks are lost, duplicated or late", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFillByte(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
}

func TestSnapshotDoesNotChangeDuringTransfer(t *testing.T) {
	convey.Convey("Writes during the transfer of a snapshot are not part of it", t, func() {
		store, donors, ready := rebuildThirdMember(t, func(_ *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						writeLargeTable(stores[i], 'b')
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFillByte(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
	convey.Convey("A donor that restarts during the transfer sends no chunk of another snapshot", t, func() {
		store, donors, ready := rebuildThirdMember(t, func(c *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						writeLargeTable(stores[i], 'b')
						donor.handler = c.newCompleteMux(c.views.view.Members[i], stores[i])
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFillByte(store), convey.ShouldResemble, map[byte]int{'b': largeKeys})
	})
	convey.Convey("A member that restarts its rebuild receives no chunk of the earlier snapshot", t, func() {
		store, _, ready := rebuildThirdMember(t, func(c *cluster, stores []*storage.Memory, donors []*countingHandler) {
			earlier := c.startInFixedView("member-2", storage.NewMemory(), false)
			for i, donor := range donors {
				donor.afterReply = func(replies int) {
					if replies == 2 {
						writeLargeTable(stores[i], 'b')
						c.runInBackground(earlier)
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(countByFillByte(store)), convey.ShouldEqual, 1)
	})
}
