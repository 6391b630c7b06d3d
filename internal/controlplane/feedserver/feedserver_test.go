package feedserver

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// fakeSource is a source whose state tests change.
type fakeSource struct {
	mutex     sync.Mutex
	version   uint64
	leaders   map[string]feed.Leader
	inContact bool
	changed   chan struct{}
}

func newFakeSource() *fakeSource {
	return &fakeSource{leaders: map[string]feed.Leader{}, inContact: true, changed: make(chan struct{})}
}

func (s *fakeSource) update(change func(*fakeSource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) sources() Sources {
	return Sources{
		Configuration: func() (uint64, []byte) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.version, []byte("configuration")
		},
		Leaders: func() map[string]feed.Leader {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.leaders
		},
		Core: func() []string { return []string{"b:1", "a:1"} },
		InContact: func() bool {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.inContact
		},
		Changed: []func() <-chan struct{}{func() <-chan struct{} {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.changed
		}},
	}
}

// coreCaller reaches servers in the same process.
type coreCaller map[string]*Server

func (c coreCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	server, there := c[address]
	if !there || route.Path() != feed.AgentContactsCall.Path() {
		return errors.New("unreachable")
	}
	answer, err := server.exchangeContacts(ctx, request.(feed.AgentContacts))
	*reply.(*feed.AgentContacts) = answer
	return err
}

func newServer(source *fakeSource, address string, caller coreCaller) *Server {
	server := New(Options{Sources: source.sources(), Caller: caller, Address: address, Logger: zap.NewNop()})
	caller[address] = server
	return server
}

// startServers runs servers until the function that it returns is called.
func startServers(servers ...*Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, server := range servers {
		running.Go(func() { server.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func watch(server *Server, known feed.Digest, wait time.Duration, agent string, suspects ...string) feed.WatchReply {
	reply, err := server.watch(context.Background(), feed.WatchRequest{Known: known, WaitMS: wait.Milliseconds(), Agent: agent, Suspects: suspects})
	So(err, ShouldBeNil)
	return reply
}

func TestWatch(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		source := newFakeSource()
		server := newServer(source, "a:1", coreCaller{})
		stop := startServers(server)
		synctest.Wait()

		Convey("A reader that lacks something gets a reply at once", t, func() {
			began := time.Now()
			reply := watch(server, feed.Digest{}, time.Second, "")
			So(time.Since(began), ShouldEqual, 0)
			So(reply.Current, ShouldBeTrue)
			So(reply.Changed, ShouldBeTrue)
			So(reply.Snapshot.Core, ShouldResemble, []string{"a:1", "b:1"})
		})
		Convey("Without a change the reply comes after the requested time, which is bounded", t, func() {
			for _, c := range []struct{ asked, waited time.Duration }{{300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, maxWait}} {
				began := time.Now()
				reply := watch(server, server.snapshots.Digest(), c.asked, "")
				So(time.Since(began), ShouldEqual, c.waited)
				So(reply, ShouldResemble, feed.WatchReply{Current: true})
			}
		})
		Convey("A change reaches all who wait, and changes in quick succession are published together", t, func() {
			replies := make(chan feed.WatchReply, 3)
			began := time.Now()
			known := server.snapshots.Digest()
			for range cap(replies) {
				go func() {
					reply, _ := server.watch(context.Background(), feed.WatchRequest{Known: known, WaitMS: 2000})
					replies <- reply
				}()
			}
			synctest.Wait()
			source.update(func(s *fakeSource) { s.version = 5 })
			source.update(func(s *fakeSource) { s.leaders = map[string]feed.Leader{"g": {Address: "a:1", Term: 2}} })
			for range cap(replies) {
				reply := <-replies
				So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
				So(reply.Snapshot.Leaders["g"].Term, ShouldEqual, 2)
			}
			So(time.Since(began), ShouldEqual, batchDelay)
		})
		Convey("A current reply has the newest configuration, even before it has been published", t, func() {
			source.update(func(s *fakeSource) { s.version = 6 })
			for _, known := range []feed.Digest{{}, server.snapshots.Digest()} {
				reply := watch(server, known, 0, "")
				So(reply.Current, ShouldBeTrue)
				So(reply.Snapshot, ShouldNotBeNil)
				So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 6)
			}
		})
		Convey("Without contact to a majority the reply is not current, and comes at once", t, func() {
			source.update(func(s *fakeSource) { s.inContact = false })
			began := time.Now()
			So(watch(server, server.snapshots.Digest(), time.Second, "").Current, ShouldBeFalse)
			So(time.Since(began), ShouldEqual, 0)
			source.update(func(s *fakeSource) { s.inContact = true })
		})
		Convey("If contact is lost while a reader waits, the reply is not current", t, func() {
			replies := make(chan feed.WatchReply)
			known := server.snapshots.Digest()
			go func() {
				reply, _ := server.watch(context.Background(), feed.WatchRequest{Known: known, WaitMS: 2000})
				replies <- reply
			}()
			synctest.Wait()
			source.update(func(s *fakeSource) { s.inContact = false })
			So((<-replies).Current, ShouldBeFalse)
		})
		stop()
	})
}

func TestAgentsAreTrackedAcrossCoreNodes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		source := newFakeSource()
		caller := coreCaller{}
		here, there := newServer(source, "a:1", caller), newServer(source, "b:1", caller)
		stop := startServers(here, there)
		<-time.After(batchDelay) // the first state has been published
		synctest.Wait()

		Convey("Agents that call are published together after a delay, also by the other core nodes", t, func() {
			began := time.Now()
			known := here.snapshots.Digest()
			watch(here, known, 0, "x:2")
			watch(here, known, 0, "y:2")
			reply := watch(here, known, 2*time.Second, "y:2")
			So(reply.Snapshot.Agents, ShouldResemble, []string{"x:2", "y:2"})
			So(time.Since(began), ShouldEqual, agentBatchDelay)
			<-time.After(2 * exchangeInterval)
			So(there.snapshots.Snapshot().Agents, ShouldResemble, []string{"x:2", "y:2"})
		})
		Convey("A suspicion removes an agent only once it has not called for some time", t, func() {
			watch(here, feed.Digest{}, 0, "x:2", "y:2")
			So(here.Agents(), ShouldResemble, []string{"x:2", "y:2"})
			<-time.After(minSilenceOfSuspect)
			watch(here, feed.Digest{}, 0, "x:2", "y:2", "unknown:2")
			So(here.Agents(), ShouldResemble, []string{"x:2"})
			<-time.After(2 * exchangeInterval)
			So(here.Agents(), ShouldResemble, []string{"x:2"})
		})
		Convey("It is added again once it calls any core node", t, func() {
			watch(there, feed.Digest{}, 0, "y:2")
			<-time.After(2 * exchangeInterval)
			So(here.Agents(), ShouldResemble, []string{"x:2", "y:2"})
		})
		Convey("Agents that do not call any more expire everywhere", t, func() {
			<-time.After(contactTimeout + exchangeInterval + time.Millisecond)
			So(here.Agents(), ShouldBeEmpty)
			So(there.Agents(), ShouldBeEmpty)
			<-time.After(expiryInterval)
			So(here.snapshots.Snapshot().Agents, ShouldBeEmpty)
		})
		stop()
	})
}

func TestWatchOverLoopback(t *testing.T) {
	Convey("Given a server on loopback", t, func() {
		source := newFakeSource()
		server := newServer(source, "a:1", coreCaller{})
		mux := transport.NewMux()
		server.Mount(mux)
		listening := httptest.NewServer(mux)
		stop := startServers(server)
		client := transport.NewClient()
		Reset(func() {
			client.Close()
			listening.Close()
			stop()
		})
		address := listening.Listener.Addr().String()
		call := func(known feed.Digest) (reply feed.WatchReply) {
			request := feed.WatchRequest{Known: known, WaitMS: 2000, Agent: "x:2"}
			So(client.Call(context.Background(), address, feed.WatchCall.Route(), request, &reply), ShouldBeNil)
			return reply
		}
		Convey("a watch returns the next change", func() {
			source.update(func(s *fakeSource) { s.version = 5 })
			var known feed.Digest
			for known.ConfigurationVersion != 5 {
				if update := call(known).Snapshot; update != nil {
					known = update.Digest()
				}
			}
			source.update(func(s *fakeSource) { s.leaders = map[string]feed.Leader{"g": {Address: "a:1", Term: 2}} })
			for {
				update := call(known).Snapshot
				if update == nil {
					continue
				}
				known = update.Digest()
				if known.LeaderTerms["g"] == 2 {
					So(update.Configuration, ShouldBeEmpty)
					break
				}
			}
			var shared feed.AgentContacts
			So(client.Call(context.Background(), address, feed.AgentContactsCall.Route(), feed.AgentContacts{}, &shared), ShouldBeNil)
			So(shared.Agents[0].Address, ShouldEqual, "x:2")
		})
	})
}
