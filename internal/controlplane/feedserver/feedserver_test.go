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

// fakeSource provides Sources whose state is set by tests.
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
		Coordinators: func() []string { return []string{"b:1", "a:1"} },
		InContact: func() bool {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.inContact
		},
		ChangeSignals: []func() <-chan struct{}{func() <-chan struct{} {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.changed
		}},
	}
}

// inProcessCaller is a transport.Caller that calls servers in the same process by their address.
type inProcessCaller map[string]*Server

func (c inProcessCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	server, found := c[address]
	if !found || route.Path() != feed.AgentContactsCall.Path() {
		return errors.New("unreachable")
	}
	contacts, err := server.exchangeContacts(ctx, request.(feed.AgentContacts))
	*reply.(*feed.AgentContacts) = contacts
	return err
}

func newServer(source *fakeSource, address string, caller inProcessCaller) *Server {
	server := New(Options{Sources: source.sources(), Caller: caller, Address: address, Logger: zap.NewNop()})
	caller[address] = server
	return server
}

// startServers runs servers until the returned function is called.
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

func TestWatchRepliesOnChangeOrTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		source := newFakeSource()
		server := newServer(source, "a:1", inProcessCaller{})
		stop := startServers(server)
		synctest.Wait()

		Convey("A reader that lacks something gets a reply at once", t, func() {
			start := time.Now()
			reply := watch(server, feed.Digest{}, time.Second, "")
			So(time.Since(start), ShouldEqual, 0)
			So(reply.Current, ShouldBeTrue)
			So(reply.Changed, ShouldBeTrue)
			So(reply.Snapshot.Coordinators, ShouldResemble, []string{"a:1", "b:1"})
		})
		Convey("Without a change the reply arrives after the requested wait, which is limited to maxWatchWait", t, func() {
			for _, c := range []struct{ requested, waited time.Duration }{{300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, maxWatchWait}} {
				start := time.Now()
				reply := watch(server, server.snapshots.Digest(), c.requested, "")
				So(time.Since(start), ShouldEqual, c.waited)
				So(reply, ShouldResemble, feed.WatchReply{Current: true})
			}
		})
		Convey("All waiting readers get a change, and changes in quick succession are published together", t, func() {
			replies := make(chan feed.WatchReply, 3)
			start := time.Now()
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
			So(time.Since(start), ShouldEqual, batchDelay)
		})
		Convey("A current reply contains the newest configuration even before that is published", t, func() {
			source.update(func(s *fakeSource) { s.version = 6 })
			for _, known := range []feed.Digest{{}, server.snapshots.Digest()} {
				reply := watch(server, known, 0, "")
				So(reply.Current, ShouldBeTrue)
				So(reply.Snapshot, ShouldNotBeNil)
				So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 6)
			}
		})
		Convey("Without contact with a majority the reply is not current and is sent at once", t, func() {
			source.update(func(s *fakeSource) { s.inContact = false })
			start := time.Now()
			So(watch(server, server.snapshots.Digest(), time.Second, "").Current, ShouldBeFalse)
			So(time.Since(start), ShouldEqual, 0)
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
		caller := inProcessCaller{}
		first, second := newServer(source, "a:1", caller), newServer(source, "b:1", caller)
		stop := startServers(first, second)
		<-time.After(batchDelay) // wait until the initial state is published
		synctest.Wait()

		Convey("Agents that call are published together after a delay, by the other coordinators too", t, func() {
			start := time.Now()
			known := first.snapshots.Digest()
			watch(first, known, 0, "x:2")
			watch(first, known, 0, "y:2")
			reply := watch(first, known, 2*time.Second, "y:2")
			So(reply.Snapshot.Agents, ShouldResemble, []string{"x:2", "y:2"})
			So(time.Since(start), ShouldEqual, agentBatchDelay)
			<-time.After(2 * exchangeInterval)
			So(second.snapshots.Snapshot().Agents, ShouldResemble, []string{"x:2", "y:2"})
		})
		Convey("A suspect is removed only if it has not called for some time", t, func() {
			watch(first, feed.Digest{}, 0, "x:2", "y:2")
			So(first.Agents(), ShouldResemble, []string{"x:2", "y:2"})
			<-time.After(minSuspectSilence)
			watch(first, feed.Digest{}, 0, "x:2", "y:2", "unknown:2")
			So(first.Agents(), ShouldResemble, []string{"x:2"})
			<-time.After(2 * exchangeInterval)
			So(first.Agents(), ShouldResemble, []string{"x:2"})
		})
		Convey("A removed agent is added again when it calls any coordinator", t, func() {
			watch(second, feed.Digest{}, 0, "y:2")
			<-time.After(2 * exchangeInterval)
			So(first.Agents(), ShouldResemble, []string{"x:2", "y:2"})
		})
		Convey("Agents that stop calling expire at all coordinators", t, func() {
			<-time.After(contactTimeout + exchangeInterval + time.Millisecond)
			So(first.Agents(), ShouldBeEmpty)
			So(second.Agents(), ShouldBeEmpty)
			<-time.After(expiryInterval)
			So(first.snapshots.Snapshot().Agents, ShouldBeEmpty)
		})
		stop()
	})
}

func TestWatchReturnsNextChangeOverHTTP(t *testing.T) {
	Convey("Given a server on loopback", t, func() {
		source := newFakeSource()
		server := newServer(source, "a:1", inProcessCaller{})
		mux := transport.NewMux()
		server.Mount(mux)
		httpServer := httptest.NewServer(mux)
		stop := startServers(server)
		client := transport.NewClient()
		Reset(func() {
			client.Close()
			httpServer.Close()
			stop()
		})
		address := httpServer.Listener.Addr().String()
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
			var contacts feed.AgentContacts
			So(client.Call(context.Background(), address, feed.AgentContactsCall.Route(), feed.AgentContacts{}, &contacts), ShouldBeNil)
			So(contacts.Agents[0].Address, ShouldEqual, "x:2")
		})
	})
}
