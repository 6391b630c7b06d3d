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
	// maxApplyTime is the time within which a change must be in force at all agents (configurationApplyMs).
	maxApplyTime = 2500 * time.Millisecond
	// maxRecoveryTime is the time within which agents that start without any state must serve again (recoveryS).
	maxRecoveryTime = 15 * time.Second
	// slowLinkBytesPerSecond is the rate that remains for control traffic on a link of 2 Mbit/s with client traffic.
	slowLinkBytesPerSecond = 250e3 * 0.4
	// changeInterval is the time between two changes of publishRepeatedly.
	changeInterval = 170 * time.Millisecond
)

// largeConfigurations caches the results of largeConfiguration by version.
var largeConfigurations sync.Map

// largeConfiguration returns a configuration of 1,830 routes, about 330 KB. Two versions differ in the version number and in one
// route each.
func largeConfiguration(version uint64) []byte {
	if body, found := largeConfigurations.Load(version); found {
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

// withSlowLinks runs a test in virtual time on a cluster whose agents have slow links and have received a large configuration.
func withSlowLinks(t *testing.T, coordinators, agents int, test func(cluster *testCluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		cluster := newTestCluster(coordinators, agents)
		for _, c := range cluster.coordinators {
			c.update(func(c *testCoordinator) { c.configuration = largeConfiguration })
		}
		for address := range cluster.agents {
			cluster.network.addSlowLink(address)
		}
		cluster.publishVersion(1)
		<-time.After(convergenceTime)
		synctest.Wait()
		if outdated := cluster.agentsNotAtVersion(1); len(outdated) > 0 {
			t.Fatalf("the first configuration is not in force at agents %v", outdated)
		}
		test(cluster)
		cluster.stop()
	})
}

// addSlowLink gives a machine a link of slowLinkBytesPerSecond.
func (n *network) addSlowLink(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[address] = &link{bytesPerSecond: slowLinkBytesPerSecond}
}

// takeTransmitted returns the mean and the maximum over all links of the bytes transmitted since takeTransmitted was last called.
func (n *network) takeTransmitted() (mean, maximum int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		bytes := link.takeTransmitted()
		mean += bytes / len(n.links)
		maximum = max(maximum, bytes)
	}
	return mean, maximum
}

// versionChecker publishes changes and checks the configurations in force at the agents. It records a violation for a version that
// decreases, for content that does not match its version, and for a change that is not in force at all agents within maxApplyTime.
type versionChecker struct {
	cluster     *testCluster
	exempt      string // address of an agent that may exceed maxApplyTime
	lastSeen    map[string]uint64
	publishedAt map[uint64]time.Time
	violations  []string
}

func newVersionChecker(cluster *testCluster) *versionChecker {
	return &versionChecker{cluster: cluster, lastSeen: make(map[string]uint64), publishedAt: make(map[uint64]time.Time)}
}

// publish publishes a version at all coordinators and records the time.
func (v *versionChecker) publish(version uint64) {
	v.cluster.publishVersion(version)
	v.publishedAt[version] = time.Now()
}

// check compares the configurations in force with the published versions and records violations.
func (v *versionChecker) check() {
	now := time.Now()
	for address, a := range v.cluster.agents {
		snapshot := a.Snapshot()
		if snapshot.ConfigurationVersion < v.lastSeen[address] {
			v.violations = append(v.violations, fmt.Sprintf("%s went back to version %d", address, snapshot.ConfigurationVersion))
		}
		if snapshot.ConfigurationVersion != v.lastSeen[address] && !bytes.Equal(snapshot.Configuration, largeConfiguration(snapshot.ConfigurationVersion)) {
			v.violations = append(v.violations, fmt.Sprintf("%s has wrong content for version %d", address, snapshot.ConfigurationVersion))
		}
		v.lastSeen[address] = snapshot.ConfigurationVersion
		for version, at := range v.publishedAt {
			if now.Sub(at) > maxApplyTime && snapshot.ConfigurationVersion < version && address != v.exempt {
				v.violations = append(v.violations, fmt.Sprintf("%s has version %d, %v after version %d was published", address, snapshot.ConfigurationVersion, now.Sub(at), version))
			}
		}
	}
}

// checkFor calls check every 50 ms for the given duration.
func (v *versionChecker) checkFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-time.After(50 * time.Millisecond)
		v.check()
	}
}

// publishRepeatedly publishes a new version every changeInterval for the given duration, and returns the last version.
func (v *versionChecker) publishRepeatedly(first uint64, duration time.Duration) (last uint64) {
	for end := time.Now().Add(duration); time.Now().Before(end); first++ {
		v.publish(first)
		v.checkFor(changeInterval)
	}
	return first - 1
}

func TestFrequentChangesApplyInTimeOnSlowLinks(t *testing.T) {
	withSlowLinks(t, 3, 8, func(cluster *testCluster) {
		Convey("Each change of a large configuration is in force in time, and no agent goes back to an older version", t, func() {
			checker := newVersionChecker(cluster)
			cluster.network.takeTransmitted()
			last := checker.publishRepeatedly(10, 6*time.Second)
			mean, maximum := cluster.network.takeTransmitted()
			checker.checkFor(maxApplyTime + time.Second)
			So(checker.violations, ShouldBeEmpty)
			So(cluster.agentsNotAtVersion(last), ShouldBeEmpty)
			Convey("and control traffic uses only a part of the link", func() {
				So(maximum, ShouldBeLessThan, int(6*slowLinkBytesPerSecond/2))
				So(mean/int(last-9), ShouldBeLessThan, 8<<10) // bytes per change
			})
		})
	})
}

func TestNewAgentsDownloadLargeConfigurationInTime(t *testing.T) {
	withSlowLinks(t, 3, 8, func(cluster *testCluster) {
		Convey("A large configuration is in force in time at agents that all start at once", t, func() {
			for i := range 8 {
				address := fmt.Sprintf("agent-new-%d", i)
				cluster.network.addSlowLink(address)
				cluster.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			<-time.After(maxRecoveryTime / 3)
			So(cluster.agentsNotAtVersion(1), ShouldBeEmpty)
			mean, maximum := cluster.network.takeTransmitted()
			So(maximum, ShouldBeLessThan, 3*len(largeConfiguration(1)))
			So(mean, ShouldBeGreaterThan, 0)
		})
		Convey("A large configuration that changes all the time is in force in time at agents that all start at once", t, func() {
			checker := newVersionChecker(cluster)
			for i := range 8 {
				address := fmt.Sprintf("agent-late-%d", i)
				cluster.network.addSlowLink(address)
				cluster.addAgent(address, []string{"core-0", "core-1", "core-2"})
			}
			last := checker.publishRepeatedly(10, 6*time.Second)
			So(checker.violations, ShouldBeEmpty)
			checker.checkFor(maxApplyTime)
			So(cluster.agentsNotAtVersion(last), ShouldBeEmpty)
		})
	})
}

func TestInterruptedDownloadContinuesFromOtherSources(t *testing.T) {
	startAgent := func(cluster *testCluster, address string) *Agent {
		cluster.network.addSlowLink(address)
		return cluster.addAgent(address, []string{"core-0", "core-1", "core-2"})
	}
	// midDownload is a time at which a download is incomplete. A download without other traffic takes about 0.8 s.
	const midDownload = 300 * time.Millisecond
	withSlowLinks(t, 3, 4, func(cluster *testCluster) {
		Convey("If its source goes down, a download continues from another coordinator and keeps the received chunks", t, func() {
			a := startAgent(cluster, "agent-a")
			<-time.After(midDownload)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			cluster.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], true)
			<-time.After(4 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			transmitted := cluster.network.links["agent-a"].takeTransmitted()
			So(transmitted, ShouldBeLessThan, len(largeConfiguration(1))/2)
			cluster.network.setDown(rank("agent-a", []string{"core-0", "core-1", "core-2"})[0], false)
		})
		Convey("If no coordinator is reachable, a download continues from other agents", t, func() {
			a := startAgent(cluster, "agent-b")
			<-time.After(midDownload)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 0)
			cluster.network.setPartition(partitionBetween("agent-b", isCoordinator))
			<-time.After(maxRecoveryTime)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(a.InContact(), ShouldBeFalse)
			cluster.network.setPartition(func(string, string) bool { return false })
		})
		Convey("Corrupted chunks are rejected", t, func() {
			corruptSource := rank("agent-c", []string{"core-0", "core-1", "core-2"})[0]
			cluster.network.setCorruption(func(from string, reply any) {
				if typedReply, ok := reply.(*feed.ChunksReply); ok && from == corruptSource && len(typedReply.Chunks) > 0 {
					typedReply.Chunks[0] = []byte(strings.Repeat("x", 40))
				}
			})
			a := startAgent(cluster, "agent-c")
			<-time.After(10 * time.Second)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 1)
			So(bytes.Equal(a.Snapshot().Configuration, largeConfiguration(1)), ShouldBeTrue)
			cluster.network.setCorruption(func(string, any) {})
		})
	})
}

func (n *network) setCorruption(corrupt func(from string, reply any)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.corrupt = corrupt
}

// withoutChunks removes the chunks of a configuration from a reply.
func withoutChunks(_ string, reply any) {
	var update *feed.Snapshot
	switch typedReply := reply.(type) {
	case *feed.ChunksReply:
		typedReply.Chunks = nil
	case *feed.WatchReply:
		update = typedReply.Snapshot
	case *feed.Exchange:
		update = typedReply.Snapshot
	}
	if update != nil && update.Offer != nil {
		update.Offer.Chunks = nil
	}
}

func TestContactEndsWhileNewerConfigurationCannotBeDownloaded(t *testing.T) {
	withSlowLinks(t, 3, 2, func(cluster *testCluster) {
		Convey("An agent that cannot download a newer configuration loses contact, although coordinators reply", t, func() {
			cluster.network.setCorruption(withoutChunks)
			cluster.publishVersion(2)
			<-time.After(contactTimeout + 500*time.Millisecond)
			So(len(cluster.agentsNotAtVersion(2)), ShouldEqual, 2)
			for _, a := range cluster.agents {
				So(a.InContact(), ShouldBeFalse)
			}
			cluster.network.setCorruption(func(string, any) {})
			<-time.After(2 * time.Second)
			So(cluster.agentsNotAtVersion(2), ShouldBeEmpty)
			for _, a := range cluster.agents {
				So(a.InContact(), ShouldBeTrue)
			}
		})
	})
}

// An agent that was cut off must not count as in contact before it has the newest configuration: guards against a 404 for a queue that was added
// long before, from the moment at which the agent hears of it until it has it.
func TestContactIsNotRegainedByTheOfferOfANewerConfiguration(t *testing.T) {
	withSlowLinks(t, 3, 2, func(cluster *testCluster) {
		Convey("An agent that was cut off while the configuration changed is in contact only once the newest one is in force", t, func() {
			cluster.network.setPartition(partitionBetween("agent-0", func(string) bool { return true }))
			cluster.publishVersion(2)
			<-time.After(2 * contactTimeout)
			cut := cluster.agents["agent-0"]
			So(cut.InContact(), ShouldBeFalse)
			cluster.network.setCorruption(withoutChunks)
			cluster.network.setPartition(func(string, string) bool { return false })
			for range 30 {
				<-time.After(contactTimeout / 10)
				So(cut.InContact() && cut.Snapshot().ConfigurationVersion < 2, ShouldBeFalse)
			}
			cluster.network.setCorruption(func(string, any) {})
			<-time.After(2 * time.Second)
			So(cut.Snapshot().ConfigurationVersion, ShouldEqual, 2)
			So(cut.InContact(), ShouldBeTrue)
		})
	})
}
