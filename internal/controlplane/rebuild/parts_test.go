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
func fill(store *storage.Memory, mark byte) {
	changes := make([]storage.Change, largeKeys)
	for i := range changes {
		changes[i] = set("data/large", fmt.Sprint(i), strings.Repeat(string(mark), 500))
	}
	store.Write(changes...)
}

// marks counts the keys of each mark.
func marks(store *storage.Memory) map[byte]int {
	counts := make(map[byte]int)
	for _, value := range store.Table("data/large") {
		counts[value[0]]++
	}
	return counts
}

// largest serves a member's calls and notes the length of the longest answer.
type largest struct {
	mutex   sync.Mutex
	handler http.Handler
	length  int
	answers int
	after   func(answers int) // called after each answer
}

func (l *largest) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	l.length = max(l.length, recorder.Body.Len())
	l.answers++
	maps.Copy(w.Header(), recorder.Header())
	w.WriteHeader(recorder.Code)
	w.Write(recorder.Body.Bytes())
	if l.after != nil {
		l.after(l.answers)
	}
}

// rebuilt rebuilds the third member from two others with large tables and returns its store.
func rebuilt(t *testing.T, prepare func(m *members, stores []*storage.Memory, givers []*largest)) (store *storage.Memory, givers []*largest, ready bool) {
	store = storage.NewMemory()
	inMembers(t, 3, func(m *members) {
		var stores []*storage.Memory
		for _, self := range m.views.view.Members[:2] {
			other := storage.NewMemory()
			fill(other, 'a')
			giver := &largest{handler: m.serving(self, other)}
			m.network.Serve(self, giver)
			stores, givers = append(stores, other), append(givers, giver)
		}
		prepare(m, stores, givers)
		rebuilder := m.start("member-2", store, false)
		m.run(rebuilder)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	return store, givers, ready
}

func TestCopiesTravelInChunks(t *testing.T) {
	store, givers, ready := rebuilt(t, func(*members, []*storage.Memory, []*largest) {})
	convey.Convey("Tables larger than a message are rebuilt, and no message carries more than a part", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(marks(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
		for _, giver := range givers {
			convey.So(giver.length, convey.ShouldBeLessThan, messageLimit)
			convey.So(giver.answers, convey.ShouldBeGreaterThan, 4)
		}
	})
}

func TestChunksThatAreLostOrDoubled(t *testing.T) {
	store, _, ready := rebuilt(t, func(m *members, _ []*storage.Memory, _ []*largest) {
		m.network.SetFaults(networktest.Faults{Lose: 0.1, Double: 0.3, Delay: 50 * time.Millisecond, Late: 0.1, LateBy: 4 * time.Second})
	})
	convey.Convey("Parts that are lost, doubled and late do no harm", t, func() {
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(marks(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
}

func TestACopyIsOfOneMoment(t *testing.T) {
	convey.Convey("What is written while a copy travels is in it as a whole or not at all", t, func() {
		store, givers, ready := rebuilt(t, func(_ *members, stores []*storage.Memory, givers []*largest) {
			for i, giver := range givers {
				giver.after = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(givers[0].answers, convey.ShouldBeGreaterThan, 4)
		convey.So(marks(store), convey.ShouldResemble, map[byte]int{'a': largeKeys})
	})
	convey.Convey("A giver that has started anew in between gives no part of another copy", t, func() {
		store, givers, ready := rebuilt(t, func(m *members, stores []*storage.Memory, givers []*largest) {
			for i, giver := range givers {
				giver.after = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
						giver.handler = m.serving(m.views.view.Members[i], stores[i])
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(givers[0].answers, convey.ShouldBeGreaterThan, 4)
		convey.So(marks(store), convey.ShouldResemble, map[byte]int{'b': largeKeys})
	})
	convey.Convey("A member that asks anew is given no part of its earlier copy", t, func() {
		store, _, ready := rebuilt(t, func(m *members, stores []*storage.Memory, givers []*largest) {
			earlier := m.start("member-2", storage.NewMemory(), false)
			for i, giver := range givers {
				giver.after = func(answers int) {
					if answers == 2 {
						fill(stores[i], 'b')
						m.run(earlier)
					}
				}
			}
		})
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(marks(store)), convey.ShouldEqual, 1)
	})
}
