package register

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// byteCountingCaller counts the bytes of requests and replies.
type byteCountingCaller struct {
	transport.Caller
	bytes          atomic.Int64
	largestMessage atomic.Int64 // length of the largest message
}

// Call implements transport.Caller.
func (c *byteCountingCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	c.count(request)
	err := c.Caller.Call(ctx, address, route, request, reply)
	c.count(reply)
	return err
}

func (c *byteCountingCaller) count(message any) {
	content, _ := msgpack.Marshal(message)
	c.bytes.Add(int64(len(content)))
	c.largestMessage.Store(max(c.largestMessage.Load(), int64(len(content))))
}

func (c *byteCountingCaller) resetBytes() int64 { return c.bytes.Swap(0) }

func TestLargeValueIsTransferredInChunks(t *testing.T) {
	var first, second, third, largestMessage int64
	var read string
	text := randomText(largeTextBytes, 1)
	runInCluster(t, func(c *cluster) {
		counting := &byteCountingCaller{Caller: c.network.Caller(nonMember)}
		register := New(Config{Name: testRegister, Self: nonMember, View: c.View, Caller: counting})
		change := func(value string) int64 {
			if _, err := register.Change(c.ctx, replaceWith(value)); err != nil {
				t.Error(err)
			}
			synctest.Wait()
			return counting.resetBytes()
		}
		first = change(text)
		second = change(withInsertion(text, "second"))
		third = change(withInsertion(text, "third"))
		largestMessage = counting.largestMessage.Load()
		value, _ := c.process("member-1").register.Read(c.ctx)
		read = string(value)
	})
	convey.Convey("The first change sends the value once to each member, in messages of bounded length", t, func() {
		convey.So(first, convey.ShouldBeBetween, 3*largeTextBytes/2, 3*largeTextBytes*3/4)
		convey.So(largestMessage, convey.ShouldBeLessThan, maxInlineChunkBytes+maxInlineChunkBytes/2)
	})
	convey.Convey("Later changes send only the chunks that differ", t, func() {
		convey.So(second, convey.ShouldBeLessThan, 3*largeTextBytes/10)
		convey.So(third, convey.ShouldBeLessThan, 3*largeTextBytes/10)
		convey.So(read == withInsertion(text, "third"), convey.ShouldBeTrue)
	})
}

func TestMemberIsSentMissingChunksWithinTheRound(t *testing.T) {
	text := randomText(largeTextBytes, 1)
	var value []byte
	var err error
	runInCluster(t, func(c *cluster) {
		proposer := c.process("member-0").register
		c.network.Partition("member-2", true)
		proposer.Change(c.ctx, replaceWith(text))
		synctest.Wait()
		c.network.Partition("member-2", false)
		c.network.Partition("member-1", true)
		_, err = proposer.Change(c.ctx, replaceWith(withInsertion(text, "more")))
		value, _ = c.process("member-2").register.Read(c.ctx)
	})
	convey.Convey("A member that missed a change is sent the missing chunks within the same round", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(value) == withInsertion(text, "more"), convey.ShouldBeTrue)
	})
}

func TestPartialTransferIsResumed(t *testing.T) {
	text := randomText(largeTextBytes, 1)
	var errs []error
	var value []byte
	var bytes int64
	runInCluster(t, func(c *cluster) {
		c.process("member-0").register.Change(c.ctx, replaceWith(text))
		counting := &byteCountingCaller{Caller: c.network.Caller(nonMember)}
		reader := New(Config{Name: testRegister, Self: nonMember, View: c.View, Caller: counting})
		// The delay of one call is about half of the read timeout.
		c.network.AddRule(networktest.Rule{From: nonMember, Path: fetchCall(testRegister).Path(), Delay: 700 * time.Millisecond})
		for range 20 {
			ctx, cancel := context.WithTimeout(c.ctx, 1500*time.Millisecond)
			read, err := reader.Read(ctx)
			cancel()
			errs = append(errs, err)
			if value = read; err == nil {
				break
			}
		}
		bytes = counting.resetBytes()
	})
	convey.Convey("Chunks that have arrived are kept for the next attempt and sent only once", t, func() {
		convey.So(rpcerror.ExecutionOf(errs[0]), convey.ShouldEqual, rpcerror.NotExecuted)
		convey.So(errs[len(errs)-1], convey.ShouldBeNil)
		convey.So(string(value) == text, convey.ShouldBeTrue)
		convey.So(bytes, convey.ShouldBeLessThan, largeTextBytes)
	})
}

func TestReaderFetchesFromAnotherMemberAfterTimeout(t *testing.T) {
	text := randomText(largeTextBytes, 1)
	var value []byte
	var err error
	runInCluster(t, func(c *cluster) {
		c.process("member-0").register.Change(c.ctx, replaceWith(text))
		synctest.Wait()
		for _, member := range []string{"member-0", "member-1"} {
			c.network.AddRule(networktest.Rule{From: nonMember, To: member, Path: fetchCall(testRegister).Path(), Drop: true})
		}
		value, err = c.proposer(nonMember, nil).Read(c.ctx)
	})
	convey.Convey("Members that do not serve chunks delay a read only until the fetch times out", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(value) == text, convey.ShouldBeTrue)
	})
}

func TestAcceptorStoresOnlyWhatTheManifestNames(t *testing.T) {
	text := randomText(3*inlineValueBytes, 1)
	manifest := chunks.NewChunking([]byte(text), nil).Manifest()
	wrongSum := manifest
	wrongSum.Sum[0]++
	var packed [][]byte
	for _, chunk := range chunks.Split([]byte(text)) {
		packed = append(packed, chunks.Pack(chunk))
	}
	convey.Convey("Given an acceptor", t, func() {
		store := storage.NewMemory()
		acceptor := readyAcceptor(store, noView)
		accept := func(sent chunkedValue) (reply, error) {
			return acceptor.serveAccept(context.Background(), acceptRequest{ProposalNumber: ProposalNumber{Counter: 1}, State: state{Sequence: 1}, ChunkedValue: &sent})
		}
		storedValue := func() string {
			replica, err := acceptor.load(1)
			convey.So(err, convey.ShouldBeNil)
			return string(replica.accepted.State.Value)
		}
		convey.Convey("a value with missing chunks is not stored, and the reply lists the missing chunks", func() {
			answer, err := accept(chunkedValue{Manifest: manifest, Chunks: packed[1:]})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Outcome, convey.ShouldEqual, chunksMissing)
			convey.So(answer.Missing, convey.ShouldResemble, manifest.Chunks[:chunks.SumBytes])
			convey.So(storedValue(), convey.ShouldBeEmpty)
			convey.Convey("it is stored after they were pushed", func() {
				_, err := acceptor.servePush(context.Background(), pushRequest{Chunks: packed[:1]})
				convey.So(err, convey.ShouldBeNil)
				answer, err := accept(chunkedValue{Manifest: manifest})
				convey.So(err, convey.ShouldBeNil)
				convey.So(answer.Outcome, convey.ShouldEqual, granted)
				convey.So(storedValue() == text, convey.ShouldBeTrue)
			})
		})
		convey.Convey("a value that does not match its manifest is rejected as not executed", func() {
			_, err := accept(chunkedValue{Manifest: wrongSum, Chunks: packed})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			convey.So(storedValue(), convey.ShouldBeEmpty)
		})
		convey.Convey("malformed chunks and manifests are rejected as not executed", func() {
			_, err := accept(chunkedValue{Manifest: manifest, Chunks: [][]byte{{1, 2, 3}}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			_, err = acceptor.servePush(context.Background(), pushRequest{Chunks: [][]byte{{1, 2, 3}}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			_, err = accept(chunkedValue{Manifest: chunks.Manifest{Bytes: -1}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
		})
		convey.Convey("the total length of pushed chunks of values that are not proposed is bounded", func() {
			for i := range 40 {
				chunk := chunks.Pack([]byte(randomText(8000, uint64(i))))
				acceptor.servePush(context.Background(), pushRequest{Chunks: [][]byte{chunk, chunk}})
			}
			convey.So(acceptor.chunks.pushedBytes, convey.ShouldEqual, 40*8000)
			acceptor.chunks.pushedBytes = maxPushedBytes
			acceptor.servePush(context.Background(), pushRequest{Chunks: packed[:1]})
			convey.So(len(acceptor.chunks.pushed), convey.ShouldEqual, 1)
		})
	})
}

// Members of older builds do not serve chunked accept requests. They would interpret a request without an inline value as an empty
// value, so they must get the value inline.
func TestMembersOfOlderBuildsGetInlineValues(t *testing.T) {
	text := randomText(largeTextBytes, 1)
	var read []byte
	var err error
	runInCluster(t, func(c *cluster) {
		for _, member := range []string{"member-0", "member-1"} {
			c.serveAsOlderBuild(member)
		}
		_, err = c.process("member-2").register.Change(c.ctx, replaceWith(text))
		c.network.Partition("member-2", true)
		read, _ = c.process("member-1").register.Read(c.ctx)
	})
	convey.Convey("A majority of older builds accepts the value", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(read) == text, convey.ShouldBeTrue)
	})
}

// serveAsOlderBuild makes a member behave like an older build without chunk support.
func (c *cluster) serveAsOlderBuild(address string) {
	acceptor := c.process(address).register.config.Acceptor
	mux := transport.NewMux()
	transport.Handle(mux, prepareCall(testRegister), acceptor.prepare)
	transport.Handle(mux, acceptCall(testRegister), acceptor.accept)
	transport.Handle(mux, readCall(testRegister), acceptor.read)
	c.network.Serve(address, mux)
}

// All members change the same large value concurrently.
func TestConcurrentChangesOfLargeValuesAllSucceed(t *testing.T) {
	text := randomText(largeTextBytes, 1)
	succeeded := 0
	runInCluster(t, func(c *cluster) {
		var running sync.WaitGroup
		var mutex sync.Mutex
		for _, member := range c.view.Members {
			running.Go(func() {
				for i := range 6 {
					_, err := c.process(member).register.Change(c.ctx, replaceWith(withInsertion(text, randomText(20, uint64(i)))))
					mutex.Lock()
					if err == nil {
						succeeded++
					}
					mutex.Unlock()
				}
			})
		}
		running.Wait()
	})
	convey.Convey("All changes succeed", t, func() { convey.So(succeeded, convey.ShouldEqual, 18) })
}

// transferDelay is the delay of each message of a change, so that a fault can start during the transfer.
const transferDelay = 200 * time.Millisecond

// changeUnderFault makes a member change a large value by delayed messages, and starts a fault during the transfer. It returns the
// values that members read after the fault has ended, and the error of the change.
func changeUnderFault(t *testing.T, faultStart time.Duration, beginFault, endFault func(c *cluster)) (values []string, changeErr error) {
	t.Helper()
	runInCluster(t, func(c *cluster) {
		changer := c.process("member-0").register
		if _, err := changer.Change(c.ctx, replaceWith(randomText(largeTextBytes, 1))); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		c.network.AddRule(networktest.Rule{From: "member-0", Delay: transferDelay})
		changed := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
			defer cancel()
			_, err := changer.Change(ctx, replaceWith(randomText(largeTextBytes, 2)))
			changed <- err
		}()
		<-time.After(faultStart)
		beginFault(c)
		changeErr = <-changed
		endFault(c)
		c.network.ClearRules()
		<-time.After(RoundLimit)
		for _, member := range c.view.Members {
			value, err := c.process(member).register.Read(c.ctx)
			if err != nil {
				t.Error(err)
			}
			values = append(values, string(value))
		}
	})
	return values, changeErr
}

// A member is frozen or the proposer is partitioned during a transfer: at the first message, between the rounds, and in the last
// round.
func TestFaultDuringTransferLeavesOneCompleteValue(t *testing.T) {
	before, after := randomText(largeTextBytes, 1), randomText(largeTextBytes, 2)
	for _, faultStart := range []time.Duration{transferDelay / 2, 3 * transferDelay / 2, 5 * transferDelay / 2} {
		frozen, frozenErr := changeUnderFault(t, faultStart,
			func(c *cluster) { c.network.Delay("member-1", 4*time.Second) },
			func(*cluster) { <-time.After(4 * time.Second) })
		convey.Convey("If a member is frozen for 4 s, the other members store the change, and all members read it", t, func() {
			convey.So(frozenErr, convey.ShouldBeNil)
			for _, value := range frozen {
				convey.So(value == after, convey.ShouldBeTrue)
			}
		})
		partitioned, partitionedErr := changeUnderFault(t, faultStart,
			func(c *cluster) { c.network.Partition("member-0", true) },
			func(c *cluster) { c.network.Partition("member-0", false) })
		convey.Convey("If the proposer is partitioned, all members read the same complete value afterwards: the new one if it was confirmed", t, func() {
			for _, value := range partitioned {
				convey.So(value == before || value == after, convey.ShouldBeTrue)
				convey.So(value == partitioned[0], convey.ShouldBeTrue)
			}
			if partitionedErr == nil {
				convey.So(partitioned[0] == after, convey.ShouldBeTrue)
			}
		})
	}
}
