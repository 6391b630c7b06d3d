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

// messageLimit is more than a part with its frame, and far less than the tables of these tests.
const messageLimit = 300 << 10

const largeKeys = 3000

// fill writes tables of 1.5 MB, of which each key has the same mark.
func fill(store *storage.Memory, fillByte byte) {
	changes := make([]storage.Change, largeKeys)
	for i := range changes {
		changes[i] = set("data/large", fmt.Sprint(i), strings.Repeat(string(fillByte), 500))
	}
	store.Write(changes...)
}

// countByFill counts the keys of each mark.
func countByFill(store *storage.Memory) map[byte]int {
	counts := make(map[byte]int)
	for _, value := range store.Table("data/large") {
		counts[value[0]]++
	}
	return counts
}

// countingHandler serves a member's calls and notes the length of the longest answer.
type countingHandler struct {
	mutex        sync.Mutex
	handler      http.Handler
	largestReply int
	replies      int
	afterReply   func(answers int) // called after each answer
}

func (l *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	l.largestReply = max(l.largestReply, recorder.Body.Len())
	l.replies++
	maps.Copy(w.Header(), recorder.Header())
	w.WriteHeader(recorder.Code)
	w.Write(recorder.Body.Bytes())
	if l.afterReply != nil {
		l.afterReply(l.replies)
	}
}

// rebuildThird rebuilds the third member from two others with large tables and returns its store.
func rebuildThird(t *testing.T, prepare func(m *cluster, stores []*storage.Memory, donors []*countingHandler)) (store *storage.Memory, donors []*countingHandler, ready bool) {
	store = storage.NewMemory()
	inCluster(t, 3, func(m *cluster) {
		var stores []*storage.Memory
		for _, self := range m.views.view.Members[:2] {
			other := storage.NewMemory()
			fill(other, 'a')
			donor := &countingHandler{handler: m.serveFrom(self, other)}
			m.network.Serve(self, donor)
			stores, donors = append(stores, other), append(donors, donor)
		}
		prepare(m, stores, donors)
		rebuilder := m.start("member-2", store, false)
		m.run(rebuilder)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	return store, donors, ready
}

func TestSnapshotsAreTransferredInChunks(t *testing.T) {
	store, donors, ready := rebuildThird(t, func(*cluster, []*storage.Memory, []*countingHandler) {})
	convey.Convey("Tables larger than a message are rebuilt, and no message carries more than a part", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
		for _, donor := range donors {
			convey.So(donor.largestReply, convey.ShouldBeLessThan, messageLimit)
			convey.So(donor.replies, convey.ShouldBeGreaterThan, 4)
		}
	})
}

func TestLostAndDuplicatedChunks(t *testing.T) {
	store, _, ready := rebuildThird(t, func(m *cluster, _ []*storage.Memory, _ []*countingHandler) {
		m.network.SetFaults(networktest.Faults{Lose: 0.1, Duplicate: 0.3, Delay: 50 * time.Millisecond, Late: 0.1, LateBy: 4 * time.Second})
	})
	convey.Convey("Parts that are lost, doubled and late do no harm", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
}

func TestASnapshotIsOfOneInstant(t *testing.T) {
	convey.Convey("What is written while a copy travels is in it as a whole or not at all", t, func() {
		store, donors, ready := rebuildThird(t, func(_ *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
	convey.Convey("A giver that has started anew in between gives no part of another copy", t, func() {
		store, donors, ready := rebuildThird(t, func(m *cluster, stores []*storage.Memory, donors []*countingHandler) {
			for i, donor := range donors {
				donor.afterReply = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
						donor.handler = m.serveFrom(m.views.view.Members[i], stores[i])
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(donors[0].replies, convey.ShouldBeGreaterThan, 4)
		convey.So(countByFill(store), convey.ShouldResemble, map[byte]int{'b': largeKeys})
	})
	convey.Convey("A member that asks anew is given no part of its earlier copy", t, func() {
		store, _, ready := rebuildThird(t, func(m *cluster, stores []*storage.Memory, donors []*countingHandler) {
			earlier := m.start("member-2", storage.NewMemory(), false)
			for i, donor := range donors {
				donor.afterReply = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
						m.run(earlier)
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(countByFill(store)), convey.ShouldEqual, 1)
	})
}
