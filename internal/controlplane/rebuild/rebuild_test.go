package rebuild_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

const drainTime = 20 * time.Second

// fixedViews is a fixed view.
type fixedViews struct{ view replicaset.View }

func (v *fixedViews) View() replicaset.View       { return v.view }
func (v *fixedViews) Changed() <-chan struct{}    { return nil }
func (v *fixedViews) Learn(replicaset.View) error { return nil }
func (v *fixedViews) Absences() uint64            { return 0 }

// cluster are core nodes on a network in memory, to be run in simulated time.
type cluster struct {
	t       *testing.T
	network *networktest.Network
	views   *fixedViews
	ctx     context.Context
}

func inCluster(t *testing.T, count int, test func(m *cluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := &cluster{t, networktest.New(1), &fixedViews{replicaset.View{Version: 1}}, ctx}
		for i := range count {
			m.views.view.Members = append(m.views.view.Members, fmt.Sprintf("member-%d", i))
		}
		test(m)
		cancel()
		<-time.After(drainTime)
	})
}

// union merges the tables of a prefix key by key.
func union(copies []storage.Tables) storage.Tables {
	merged := make(storage.Tables)
	for _, tables := range copies {
		for name, table := range tables {
			if merged[name] == nil {
				merged[name] = make(map[string][]byte)
			}
			maps.Copy(merged[name], table)
		}
	}
	return merged
}

func (m *cluster) start(self string, store storage.SnapshotStore, firstStart bool) *rebuild.Rebuilder {
	rebuilder, mux := m.build(self, store, firstStart)
	m.network.Serve(self, mux)
	return rebuilder
}

// serveFrom is a member that has its disk, as others call it.
func (m *cluster) serveFrom(self string, store storage.SnapshotStore) *transport.Mux {
	_, mux := m.build(self, store, true)
	return mux
}

func (m *cluster) build(self string, store storage.SnapshotStore, firstStart bool) (*rebuild.Rebuilder, *transport.Mux) {
	rebuilder, err := rebuild.New(rebuild.Config{
		Self:       self,
		FirstStart: firstStart,
		Views:      m.views,
		Store:      store,
		Caller:     m.network.Caller(self),
		Logger:     zap.NewNop(),
	})
	if err != nil {
		m.t.Fatal(err)
	}
	rebuilder.Register(rebuild.Infallible(union), "data/", "more/")
	mux := transport.NewMux()
	rebuilder.Serve(mux)
	return rebuilder, mux
}

// run rebuilds in the background.
func (m *cluster) run(rebuilder *rebuild.Rebuilder) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- rebuilder.Run(m.ctx) }()
	return ended
}

func set(table, key, value string) storage.Change {
	return storage.Change{Table: table, Key: key, Value: []byte(value)}
}

// startComplete starts all members but the last with a key of each, and returns their stores.
func (m *cluster) startComplete() []*storage.Memory {
	var stores []*storage.Memory
	others := m.views.view.Members[:len(m.views.view.Members)-1]
	for _, self := range others {
		store := storage.NewMemory()
		m.start(self, store, true)
		store.Write(set("data/a", self, "1"), set("more/b", "k", "2"), set(replicaset.TableName, "view", self))
		stores = append(stores, store)
	}
	return stores
}

func TestALostDiskIsRebuilt(t *testing.T) {
	var took time.Duration
	var content storage.Tables
	var readyBefore, readyAfter, readyAgain bool
	inCluster(t, 3, func(m *cluster) {
		m.startComplete()
		store := storage.NewMemory()
		store.Write(set(replicaset.TableName, "view", "own"), set("data/old", "k", "left by an earlier attempt"))
		start := time.Now()
		rebuilder := m.start("member-2", store, false)
		readyBefore = rebuilder.Ready()
		ended := m.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		readyAfter = rebuilder.Ready()
		content = store.Snapshot()
		readyAgain = m.start("member-2", store, false).Ready()
	})
	convey.Convey("A member without its disk takes over what the others hold, 2.2 s after its start", t, func() {
		convey.So(readyBefore, convey.ShouldBeFalse)
		convey.So(readyAfter, convey.ShouldBeTrue)
		convey.So(took, convey.ShouldEqual, 2200*time.Millisecond)
		delete(content, rebuild.TableName)
		convey.So(content, convey.ShouldResemble, storage.Tables{
			"data/a":             {"member-0": []byte("1"), "member-1": []byte("1")},
			"more/b":             {"k": []byte("2")},
			replicaset.TableName: {"view": []byte("own")},
		})
	})
	convey.Convey("With its disk kept it is ready at once at the next start", t, func() {
		convey.So(readyAgain, convey.ShouldBeTrue)
	})
}

func TestARebuildWaitsForAMajorityOfTheOthers(t *testing.T) {
	for _, sizes := range []struct{ members, cut int }{{3, 1}, {4, 2}, {5, 2}} {
		var early, late bool
		inCluster(t, sizes.members, func(m *cluster) {
			m.startComplete()
			for _, self := range m.views.view.Members[:sizes.cut] {
				m.network.Partition(self, true)
			}
			rebuilder := m.start(m.views.view.Members[sizes.members-1], storage.NewMemory(), false)
			m.run(rebuilder)
			<-time.After(time.Minute)
			early = rebuilder.Ready()
			m.network.Partition("member-0", false)
			<-time.After(time.Minute)
			late = rebuilder.Ready()
		})
		convey.Convey(fmt.Sprintf("%d members of which %d are cut off", sizes.members, sizes.cut), t, func() {
			convey.So(early, convey.ShouldBeFalse)
			convey.So(late, convey.ShouldBeTrue)
		})
	}
}

func TestAFailedMemberDelaysNoRebuild(t *testing.T) {
	var took time.Duration
	inCluster(t, 5, func(m *cluster) {
		m.startComplete()
		m.network.Partition("member-0", true)
		start := time.Now()
		rebuilder := m.start("member-4", storage.NewMemory(), false)
		m.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	convey.Convey("A majority of the others is enough", t, func() {
		convey.So(took, convey.ShouldEqual, 2200*time.Millisecond)
	})
}

// A question or an answer is lost without a sign, as in a cut.
func TestALostChunkIsRequestedAgain(t *testing.T) {
	var took time.Duration
	inCluster(t, 3, func(m *cluster) {
		m.startComplete()
		m.network.AddRule(networktest.Rule{To: "member-0", Path: "/rebuild/dump", Lose: true, Times: 1})
		start := time.Now()
		rebuilder := m.start("member-2", storage.NewMemory(), false)
		m.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	convey.Convey("The member is rebuilt within the time to catch up, 4 s", t, func() {
		convey.So(took, convey.ShouldBeLessThan, 4*time.Second)
	})
}

func TestMembersThatAreBeingRebuiltGiveNoSnapshots(t *testing.T) {
	var ready bool
	inCluster(t, 3, func(m *cluster) {
		m.start("member-0", storage.NewMemory(), true)
		first := m.start("member-1", storage.NewMemory(), false)
		second := m.start("member-2", storage.NewMemory(), false)
		m.run(first)
		m.run(second)
		<-time.After(time.Minute)
		ready = first.Ready() || second.Ready()
	})
	convey.Convey("Two of three members without their disks do not rebuild from each other", t, func() {
		convey.So(ready, convey.ShouldBeFalse)
	})
}

func TestAFailedRebuildStartsOver(t *testing.T) {
	broken := errors.New("broken")
	var err error
	var ready, readyLater bool
	inCluster(t, 3, func(m *cluster) {
		m.startComplete()
		store := storage.NewMemory()
		store.Fail(broken)
		rebuilder := m.start("member-2", store, false)
		err = <-m.run(rebuilder)
		ready = rebuilder.Ready()
		store.Fail(nil)
		rebuilder = m.start("member-2", store, false)
		if rebuilder.Ready() {
			t.Error("ready without a rebuild")
		}
		m.run(rebuilder)
		<-rebuilder.Complete()
		readyLater = rebuilder.Ready()
	})
	convey.Convey("A disk that fails leaves the member incomplete, and the next start rebuilds it", t, func() {
		convey.So(err, convey.ShouldWrap, broken)
		convey.So(ready, convey.ShouldBeFalse)
		convey.So(readyLater, convey.ShouldBeTrue)
	})
}

func TestATableWithoutAMergerIsAnError(t *testing.T) {
	var err error
	var ready bool
	inCluster(t, 3, func(m *cluster) {
		m.startComplete()[0].Write(set("unknown", "k", "1"))
		rebuilder := m.start("member-2", storage.NewMemory(), false)
		err = <-m.run(rebuilder)
		ready = rebuilder.Ready()
	})
	convey.Convey("No table is left out in silence", t, func() {
		convey.So(err, convey.ShouldWrap, rebuild.ErrNoMerger)
		convey.So(ready, convey.ShouldBeFalse)
	})
}

// Power is lost at each operation of a rebuild on a disk in turn. Afterwards the member is either incomplete or has all.
func TestAPowerLossDuringARebuild(t *testing.T) {
	complete, incomplete := 0, 0
	inCluster(t, 3, func(m *cluster) {
		m.startComplete()
		for operation := 1; operation <= 4; operation++ {
			disk := storagetest.NewDisk()
			store, _, err := storage.Open(disk, "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			disk.CutPowerAt(operation, operation%2 == 0)
			<-m.run(m.start("member-2", store, false))
			store.Close()
			store, _, err = storage.Open(disk.Restore(rand.New(rand.NewPCG(uint64(operation), 0))), "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if m.start("member-2", store, false).Ready() {
				complete++
				if len(store.Table("data/a")) != 2 || len(store.Table("more/b")) != 1 {
					t.Errorf("operation %d: complete with %v", operation, store.Snapshot())
				}
			} else {
				incomplete++
			}
			store.Close()
		}
	})
	convey.Convey("Both occur", t, func() {
		convey.So(complete, convey.ShouldBeGreaterThan, 0)
		convey.So(incomplete, convey.ShouldBeGreaterThan, 0)
	})
}
