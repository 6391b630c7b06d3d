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
	maxApplyTime = 2500 * time.Millisecond
	// recoveryBound is the time within which all serve again that began from nothing (recoveryS).
	maxRecoveryTime = 15 * time.Second
	// thinLink is what clients leave of a link of 2 Mbit/s, in bytes a second.
	slowLinkBytesPerSecond = 250e3 * 0.4
	// stormGap is the time between two changes in a storm.
	changeInterval = 170 * time.Millisecond
)

// madeBodies holds what largeBody has made, by version.
var largeConfigurations sync.Map

// largeBody is a configuration of 1,830 routes, about 330 KB. One route and the version differ between versions.
func largeConfiguration(version uint64) []byte {
	if body, made := largeConfigurations.Load(version); made {
		return body.([]byte)
	}
	body, _ := largeConfigurations.LoadOrStore(version, buildLargeConfiguration(version))
	return body.([]byte)
}

func buildLargeConfiguration(version uint64) []byte {
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
func withSlowLinks(t *testing.T, coordinators, agents int, test func(w *testCluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newTestCluster(coordinators, agents)
		for _, c := range w.coordinators {
			c.update(func(c *testCoordinator) { c.configuration = largeConfiguration })
		}
		for address := range w.agents {
			w.network.addSlowLink(address)
		}
		w.publishVersion(1)
		<-time.After(convergenceTime)
		synctest.Wait()
		if stragglers := w.agentsNotAtVersion(1); len(stragglers) > 0 {
			t.Fatalf("the first configuration is not in force at %v", stragglers)
		}
		test(w)
		w.stop()
	})
}

func (n *network) addSlowLink(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[address] = &link{bytesPerSecond: slowLinkBytesPerSecond}
}

// carried returns how many bytes each link carried since the last time, in the mean and at most.
func (n *network) takeTransmitted() (mean, most int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		bytes := link.takeTransmitted()
		mean += bytes / len(n.links)
		most = max(most, bytes)
	}
	return mean, most
}

// watchVersions notes what is in force at the agents while changes go on, and returns what is wrong: a version that goes
// back, content that is not the version's, or a change that is not in force everywhere within the bound.
type versionChecker struct {
	cluster     *testCluster
	exempt      string // an agent that need not be in time
	lastSeen    map[string]uint64
	publishedAt map[uint64]time.Time
	violations  []string
}

func newVersionChecker(w *testCluster) *versionChecker {
	return &versionChecker{cluster: w, lastSeen: make(map[string]uint64), publishedAt: make(map[uint64]time.Time)}
}

func (v *versionChecker) publish(version uint64) {
	v.cluster.publishVersion(version)
	v.publishedAt[version] = time.Now()
}

// look compares what is in force with what was sent.
func (v *versionChecker) check() {
	now := time.Now()
	for address, a := range v.cluster.agents {
		snapshot := a.Snapshot()
		if snapshot.ConfigurationVersion < v.lastSeen[address] {
			v.violations = append(v.violations, fmt.Sprintf("%s goes back to %d", address, snapshot.ConfigurationVersion))
		}
		if snapshot.ConfigurationVersion != v.lastSeen[address] && !bytes.Equal(snapshot.Configuration, largeConfiguration(snapshot.ConfigurationVersion)) {
			v.violations = append(v.violations, fmt.Sprintf("%s has a mixture as %d", address, snapshot.ConfigurationVersion))
		}
		v.lastSeen[address] = snapshot.ConfigurationVersion
		for version, at := range v.publishedAt {
			if now.Sub(at) > maxApplyTime && snapshot.ConfigurationVersion < version && address != v.exempt {
				v.violations = append(v.violations, fmt.Sprintf("%s has %d, %v after %d", address, snapshot.ConfigurationVersion, now.Sub(at), version))
			}
		}
	}
}

// pass lets time go by while it looks.
func (v *versionChecker) checkFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(50 * time.Millisecond)
		v.check()
	}
}

// storm makes a change each stormGap for some time.
func (v *versionChecker) publishRepeatedly(first uint64, duration time.Duration) (last uint64) {
	for end := time.Now().Add(duration); time.Now().Before(end); first++ {
		v.publish(first)
		v.checkFor(changeInterval)
	}
	return first - 1
}

func TestFrequentChangesApplyInTimeOnSlowLinks(t *testing.T) {
	withSlowLinks(t, 3, 8, func(w *testCluster) {
		Convey("Each change of a large configuration is in force in time, and none goes back", t, func() {
			watch := newVersionChecker(w)
			w.network.takeTransmitted()
			last := watch.publishRepeatedly(10, 6*time.Second)
			mean, most := w.network.takeTransmitted()
			watch.checkFor(maxApplyTime + time.Second)
			So(watch.violations, ShouldBeEmpty)
			So(w.agentsNotAtVersion(last), ShouldBeEmpty)
			Convey("and control takes a part of the link only", func() {
				So(most, ShouldBeLessThan, int(6*slowLinkBytesPerSecond/2))
				So(mean/int(last-9), ShouldBeLessThan, 8<<10) // a change
			})
		})
	})
}

func TestNewAgentsDownloadLargeConfigurationInTime(t *testing.T) {
	withSlowLinks(t, 3, 8, func(w *testCluster) {
		Convey("The largest configuration is in force at all agents that begin at once", t, func() {
			for i := range 8 {
				address := fmt.Sprintf("agent-new-%d", i)
				w.network.addSlowLink(address)
				w.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			<-time.After(maxRecoveryTime / 3)
			So(w.agentsNotAtVersion(1), ShouldBeEmpty)
			mean, most := w.network.takeTransmitted()
			So(most, ShouldBeLessThan, 3*len(largeConfiguration(1)))
			So(mean, ShouldBeGreaterThan, 0)
		})
		Convey("So it is while it changes all the time", t, func() {
			watch := newVersionChecker(w)
			for i := range 8 {
				address := fmt.Sprintf("agent-late-%d", i)
				w.network.addSlowLink(address)
				w.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			last := watch.publishRepeatedly(10, 6*time.Second)
			So(watch.violations, ShouldBeEmpty)
			watch.checkFor(maxApplyTime)
			So(w.agentsNotAtVersion(last), ShouldBeEmpty)
		})
	})
}

func TestInterruptedDownloadContinuesFromOtherSources(t *testing.T) {
	fresh := func(w *testCluster, address string) *Agent {
		w.network.addSlowLink(address)
		return w.addAgent(address, []string{"core-0", "core-1", "core-2"})
	}
	// Alone on the link, the whole takes about 0.8 s.
	const middle = 300 * time.Millisecond
	withSlowLinks(t, 3, 4, func(w *testCluster) {
		Convey("A transfer goes on at another core mixer when its source goes down, with what has arrived", t, func() {
			a := fresh(w, "agent-a")
			<-time.After(middle)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			w.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], true)
			<-time.After(4 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			carried := w.network.links["agent-a"].takeTransmitted()
			So(carried, ShouldBeLessThan, len(largeConfiguration(1))/2)
			w.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], false)
		})
		Convey("It goes on at other agents when the whole core is cut off", t, func() {
			a := fresh(w, "agent-b")
			<-time.After(middle)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			w.network.setPartition(partitionBetween("agent-b", isCoordinator))
			<-time.After(maxRecoveryTime)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(a.InContact(), ShouldBeFalse)
			w.network.setPartition(func(string, string) bool { return false })
		})
		Convey("Spoilt parts are not taken", t, func() {
			spoilt := rank("agent-c", []string{"core-0", "core-1", "core-2"})[0]
			w.network.setCorruption(func(from string, reply any) {
				if answer, ok := reply.(*feed.ChunksReply); ok && from == spoilt && len(answer.Chunks) > 0 {
					answer.Chunks[0] = []byte(strings.Repeat("x", 40))
				}
			})
			a := fresh(w, "agent-c")
			<-time.After(10 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(bytes.Equal(a.Snapshot().Configuration, largeConfiguration(1)), ShouldBeTrue)
			w.network.setCorruption(func(string, any) {})
		})
	})
}

func (n *network) setCorruption(spoil func(from string, reply any)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.corrupt = spoil
}

func TestContactEndsWhileNewerConfigurationCannotBeDownloaded(t *testing.T) {
	withSlowLinks(t, 3, 2, func(w *testCluster) {
		Convey("An agent that cannot get a newer configuration is not in contact for long, though core mixers answer", t, func() {
			w.network.setCorruption(func(_ string, reply any) {
				switch answer := reply.(type) {
				case *feed.ChunksReply:
					answer.Chunks = nil
				case *feed.WatchReply:
					if answer.Snapshot != nil && answer.Snapshot.Offer != nil {
						answer.Snapshot.Offer.Chunks = nil
					}
				}
			})
			w.publishVersion(2)
			<-time.After(contactTimeout + 500*time.Millisecond)
			So(len(w.agentsNotAtVersion(2)), ShouldEqual, 2)
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeFalse)
			}
			w.network.setCorruption(func(string, any) {})
			<-time.After(2 * time.Second)
			So(w.agentsNotAtVersion(2), ShouldBeEmpty)
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeTrue)
			}
		})
	})
}
