package configuration

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestRunReadsUpdatesOfOtherMembers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		register := &fakeRegister{}
		reader, writer := newConfigurator(register), newConfigurator(register)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { reader.Run(ctx) })
		synctest.Wait()
		Convey("An update that was not announced is cached after the next read", t, func() {
			So(reader.Fresh(time.Millisecond), ShouldBeTrue)
			So(writer.Put(ctx, 0, bodyOf(5, 1000)).Kind, ShouldEqual, Accepted)
			changed := reader.Changed()
			began := time.Now()
			<-changed
			So(time.Since(began), ShouldBeLessThanOrEqualTo, readInterval)
			version, _ := reader.Current()
			So(version, ShouldEqual, 5)
		})
		Convey("Without a majority the cached configuration becomes stale, but is kept", t, func() {
			register.update(func(r *fakeRegister) { r.unavailable = true })
			<-time.After(2 * time.Second) // virtual time
			So(reader.Fresh(1500*time.Millisecond), ShouldBeFalse)
			version, _ := reader.Current()
			So(version, ShouldEqual, 5)
			register.update(func(r *fakeRegister) { r.unavailable = false })
			<-time.After(readRetryDelay)
			synctest.Wait()
			So(reader.Fresh(readRetryDelay), ShouldBeTrue)
		})
		cancel()
		running.Wait()
	})
}

func TestMembersReadAnAnnouncedVersionAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		register := &fakeRegister{}
		view := replicaset.View{Version: 1, Members: []string{"a:1", "b:1", "c:1"}}
		muxes := make(map[string]*transport.Mux)
		caller := callerFunc(func(_ context.Context, address string, route transport.Route, request, reply any) error {
			return callMux(muxes[address], route, request, reply)
		})
		members := make(map[string]*Configurator)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, address := range view.Members {
			member := New(Options{Register: register, Caller: caller, Members: func() replicaset.View { return view }, Address: address, Logger: zap.NewNop()})
			members[address] = member
			muxes[address] = transport.NewMux()
			member.Mount(muxes[address])
			running.Go(func() { member.Run(ctx) })
		}
		synctest.Wait()
		announce := func(announcement Announcement) (AnnouncementReply, error) {
			var reply AnnouncementReply
			err := caller(context.Background(), "b:1", AnnounceCall.Route(), announcement, &reply)
			return reply, err
		}

		Convey("Members read an accepted update before the next regular read, and accept it when it is sent again", t, func() {
			began := time.Now()
			So(members["a:1"].Put(context.Background(), 0, bodyOf(5, 1000)).Kind, ShouldEqual, Accepted)
			synctest.Wait()
			So(time.Since(began), ShouldEqual, 0)
			for _, member := range members {
				version, body := member.Current()
				So(version, ShouldEqual, 5)
				So(string(body), ShouldEqual, string(bodyOf(5, 1000)))
			}
			before := register.changeCount()
			So(members["c:1"].Put(context.Background(), 0, bodyOf(5, 1000)).Kind, ShouldEqual, Accepted)
			So(register.changeCount(), ShouldEqual, before)
		})
		Convey("The announcement of a cached version triggers no read", t, func() {
			before := members["b:1"].lastReadAt()
			<-time.After(time.Millisecond)
			reply, err := announce(Announcement{Version: 5})
			So(err, ShouldBeNil)
			So(reply.Version, ShouldEqual, 5)
			synctest.Wait()
			So(members["b:1"].lastReadAt(), ShouldEqual, before)
		})
		Convey("An announced version that is not committed is not adopted", t, func() {
			_, err := announce(Announcement{Version: 6})
			So(err, ShouldBeNil)
			synctest.Wait()
			version, _ := members["b:1"].Current()
			So(version, ShouldEqual, 5)
		})
		Convey("Members adopt newer values that older builds announce, and reject values that they cannot decode", t, func() {
			older, err := State{Version: 5, Body: bodyOf(5, 1000)}.Encode()
			So(err, ShouldBeNil)
			newer, err := State{Version: 7, Body: bodyOf(7, 1000)}.Encode()
			So(err, ShouldBeNil)
			_, err = announce(Announcement{Value: newer})
			So(err, ShouldBeNil)
			reply, err := announce(Announcement{Value: older})
			So(err, ShouldBeNil)
			So(reply.Version, ShouldEqual, 7)
			_, err = announce(Announcement{Value: []byte("\xc1")})
			So(err, ShouldNotBeNil)
			version, _ := members["b:1"].Current()
			So(version, ShouldEqual, 7)
		})
		cancel()
		running.Wait()
	})
}

func (c *Configurator) lastReadAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastRead
}

// callMux calls a handler directly, without a network.
func callMux(mux http.Handler, route transport.Route, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, route.Path(), bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		return errNoMajority
	}
	return msgpack.Unmarshal(recorder.Body.Bytes(), reply)
}
