package agent

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	// applyBound is the time within which a change is in force everywhere (configurationApplyMs).
	applyBound = 2500 * time.Millisecond
	// recoveryBound is the time within which all serve again that began from nothing (recoveryS).
	recoveryBound = 15 * time.Second
	// thinLink is what clients leave of a link of 2 Mbit/s, in bytes a second.
	thinLink = 250e3 * 0.4
	// stormGap is the time between two changes in a storm.
	stormGap = 170 * time.Millisecond
)

// madeBodies holds what largeBody has made, by version.
var madeBodies sync.Map

// largeBody is a configuration of 1,830 routes, about 330 KB. One route and the version differ between versions.
func largeBody(version uint64) []byte {
	if body, made := madeBodies.Load(version); made {
		return body.([]byte)
	}
	body, _ := madeBodies.LoadOrStore(version, makeLargeBody(version))
	return body.([]byte)
}

func makeLargeBody(version uint64) []byte {
	random := rand.New(rand.NewPCG(3, 3))
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range uint64(1830) {
		timeout := 3000
		if i == version*31%1830 {
			timeout = 3500
		}
		text = fmt.Appendf(text, `{"name":"r-%07x","host":"%06x.example","pathPrefix":"/%07x/","kind":"non_idempotent","timeoutMs":%d,`+
			`"targetLatencyMs":1000,"priority":1,"service":"huvo11a","maxAttempts":3,"extension":2.2},`,
			random.Uint32(), random.Uint32(), random.Uint32(), timeout)
	}
	return append(text, `{}]}`...)
}

// onThinLinks plays a test in virtual time on a fleet whose agents have thin links and a large configuration.
func onThinLinks(t *testing.T, coordinators, agents int, test func(w *world)) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(coordinators, agents)
		for _, c := range w.coordinators {
			c.update(func(c *coordinator) { c.body = largeBody })
		}
		for address := range w.agents {
			w.network.setLink(address)
		}
		w.setVersion(1)
		<-time.After(converged)
		synctest.Wait()
		if stragglers := w.stragglers(1); len(stragglers) > 0 {
			t.Fatalf("the first configuration is not in force at %v", stragglers)
		}
		test(w)
		w.stop()
	})
}

func (n *network) setLink(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[address] = &link{perSecond: thinLink}
}

// carried returns how many bytes each link carried since the last time, in the mean and at most.
func (n *network) carried() (mean, most int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		bytes := link.take()
		mean += bytes / len(n.links)
		most = max(most, bytes)
	}
	return mean, most
}

// watchVersions notes what is in force at the agents while changes go on, and returns what is wrong: a version that goes
// back, content that is not the version's, or a change that is not in force everywhere within the bound.
type versionWatch struct {
	world  *world
	except string // an agent that need not be in time
	seen   map[string]uint64
	sent   map[uint64]time.Time
	wrong  []string
}

func newVersionWatch(w *world) *versionWatch {
	return &versionWatch{world: w, seen: make(map[string]uint64), sent: make(map[uint64]time.Time)}
}

func (v *versionWatch) change(version uint64) {
	v.world.setVersion(version)
	v.sent[version] = time.Now()
}

// look compares what is in force with what was sent.
func (v *versionWatch) look() {
	now := time.Now()
	for address, a := range v.world.agents {
		snapshot := a.Snapshot()
		if snapshot.ConfigurationVersion < v.seen[address] {
			v.wrong = append(v.wrong, fmt.Sprintf("%s goes back to %d", address, snapshot.ConfigurationVersion))
		}
		if snapshot.ConfigurationVersion != v.seen[address] && !bytes.Equal(snapshot.Configuration, largeBody(snapshot.ConfigurationVersion)) {
			v.wrong = append(v.wrong, fmt.Sprintf("%s has a mixture as %d", address, snapshot.ConfigurationVersion))
		}
		v.seen[address] = snapshot.ConfigurationVersion
		for version, at := range v.sent {
			if now.Sub(at) > applyBound && snapshot.ConfigurationVersion < version && address != v.except {
				v.wrong = append(v.wrong, fmt.Sprintf("%s has %d, %v after %d", address, snapshot.ConfigurationVersion, now.Sub(at), version))
			}
		}
	}
}

// pass lets time go by while it looks.
func (v *versionWatch) pass(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(50 * time.Millisecond)
		v.look()
	}
}

// storm makes a change each stormGap for some time.
func (v *versionWatch) storm(first uint64, duration time.Duration) (last uint64) {
	for end := time.Now().Add(duration); time.Now().Before(end); first++ {
		v.change(first)
		v.pass(stormGap)
	}
	return first - 1
}

func TestAStormOnThinLinks(t *testing.T) {
	onThinLinks(t, 3, 8, func(w *world) {
		Convey("Each change of a large configuration is in force in time, and none goes back", t, func() {
			watch := newVersionWatch(w)
			w.network.carried()
			last := watch.storm(10, 6*time.Second)
			mean, most := w.network.carried()
			watch.pass(applyBound + time.Second)
			So(watch.wrong, ShouldBeEmpty)
			So(w.stragglers(last), ShouldBeEmpty)
			Convey("and control takes a part of the link only", func() {
				So(most, ShouldBeLessThan, int(6*thinLink/2))
				So(mean/int(last-9), ShouldBeLessThan, 8<<10) // a change
			})
		})
	})
}

func TestAllBeginFromNothing(t *testing.T) {
	onThinLinks(t, 3, 8, func(w *world) {
		Convey("The largest configuration is in force at all agents that begin at once", t, func() {
			for i := range 8 {
				address := fmt.Sprintf("agent-new-%d", i)
				w.network.setLink(address)
				w.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			<-time.After(recoveryBound / 3)
			So(w.stragglers(1), ShouldBeEmpty)
			mean, most := w.network.carried()
			So(most, ShouldBeLessThan, 3*len(largeBody(1)))
			So(mean, ShouldBeGreaterThan, 0)
		})
		Convey("So it is while it changes all the time", t, func() {
			watch := newVersionWatch(w)
			for i := range 8 {
				address := fmt.Sprintf("agent-late-%d", i)
				w.network.setLink(address)
				w.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			last := watch.storm(10, 6*time.Second)
			So(watch.wrong, ShouldBeEmpty)
			watch.pass(applyBound)
			So(w.stragglers(last), ShouldBeEmpty)
		})
	})
}

func TestTransfersThatAreBroken(t *testing.T) {
	fresh := func(w *world, address string) *Agent {
		w.network.setLink(address)
		return w.addAgent(address, []string{"core-0", "core-1", "core-2"})
	}
	// Alone on the link, the whole takes about 0.8 s.
	const middle = 300 * time.Millisecond
	onThinLinks(t, 3, 4, func(w *world) {
		Convey("A transfer goes on at another core mixer when its source goes down, with what has arrived", t, func() {
			a := fresh(w, "agent-a")
			<-time.After(middle)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			w.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], true)
			<-time.After(4 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			carried := w.network.links["agent-a"].take()
			So(carried, ShouldBeLessThan, len(largeBody(1))/2)
			w.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], false)
		})
		Convey("It goes on at other agents when the whole core is cut off", t, func() {
			a := fresh(w, "agent-b")
			<-time.After(middle)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			w.network.setPartition(between("agent-b", isCoordinator))
			<-time.After(recoveryBound)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(a.InContact(), ShouldBeFalse)
			w.network.setPartition(func(string, string) bool { return false })
		})
		Convey("Spoilt parts are not taken", t, func() {
			spoilt := rank("agent-c", []string{"core-0", "core-1", "core-2"})[0]
			w.network.setSpoil(func(from string, reply any) {
				if answer, ok := reply.(*feed.ChunksReply); ok && from == spoilt && len(answer.Chunks) > 0 {
					answer.Chunks[0] = []byte(strings.Repeat("x", 40))
				}
			})
			a := fresh(w, "agent-c")
			<-time.After(10 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(bytes.Equal(a.Snapshot().Configuration, largeBody(1)), ShouldBeTrue)
			w.network.setSpoil(func(string, any) {})
		})
	})
}

func (n *network) setSpoil(spoil func(from string, reply any)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spoil = spoil
}

func TestContactWhileANewerConfigurationIsOnItsWay(t *testing.T) {
	onThinLinks(t, 3, 2, func(w *world) {
		Convey("An agent that cannot get a newer configuration is not in contact for long, though core mixers answer", t, func() {
			w.network.setSpoil(func(_ string, reply any) {
				switch answer := reply.(type) {
				case *feed.ChunksReply:
					answer.Chunks = nil
				case *feed.WatchReply:
					if answer.Snapshot != nil && answer.Snapshot.Offer != nil {
						answer.Snapshot.Offer.Chunks = nil
					}
				}
			})
			w.setVersion(2)
			<-time.After(contactLimit + 500*time.Millisecond)
			So(len(w.stragglers(2)), ShouldEqual, 2)
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeFalse)
			}
			w.network.setSpoil(func(string, any) {})
			<-time.After(2 * time.Second)
			So(w.stragglers(2), ShouldBeEmpty)
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeTrue)
			}
		})
	})
}
