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

// byteCountingCaller counts the bytes of calls and answers.
type byteCountingCaller struct {
	transport.Caller
	bytes   atomic.Int64
	largest atomic.Int64 // of one message
}

// Call implements transport.Caller.
func (w *byteCountingCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	w.count(request)
	err := w.Caller.Call(ctx, address, route, request, reply)
	w.count(reply)
	return err
}

func (w *byteCountingCaller) count(message any) {
	content, _ := msgpack.Marshal(message)
	w.bytes.Add(int64(len(content)))
	w.largest.Store(max(w.largest.Load(), int64(len(content))))
}

func (w *byteCountingCaller) take() int64 { return w.bytes.Swap(0) }

func TestLargeValueIsTransferredInChunks(t *testing.T) {
	var first, second, third, most int64
	var read string
	text := randomText(largeText, 1)
	runInCluster(t, func(c *cluster) {
		weighing := &byteCountingCaller{Caller: c.network.Caller(outsider)}
		register := New(Config{Name: testRegister, Self: outsider, View: c.View, Caller: weighing})
		change := func(value string) int64 {
			if _, err := register.Change(c.ctx, replaceBy(value)); err != nil {
				t.Error(err)
			}
			synctest.Wait()
			return weighing.take()
		}
		first = change(text)
		second = change(edited(text, "second"))
		third = change(edited(text, "third"))
		most = weighing.largest.Load()
		value, _ := c.process("member-1").register.Read(c.ctx)
		read = string(value)
	})
	convey.Convey("The first change sends it once to each member, in messages of a bounded size", t, func() {
		convey.So(first, convey.ShouldBeBetween, 3*largeText/2, 3*largeText*3/4)
		convey.So(most, convey.ShouldBeLessThan, maxInlineChunkBytes+maxInlineChunkBytes/2)
	})
	convey.Convey("Later changes send the chunks that differ", t, func() {
		convey.So(second, convey.ShouldBeLessThan, 3*largeText/10)
		convey.So(third, convey.ShouldBeLessThan, 3*largeText/10)
		convey.So(read == edited(text, "third"), convey.ShouldBeTrue)
	})
}

func TestMemberIsSentMissingChunksWithinTheRound(t *testing.T) {
	text := randomText(largeText, 1)
	var value []byte
	var err error
	runInCluster(t, func(c *cluster) {
		proposer := c.process("member-0").register
		c.network.Partition("member-2", true)
		proposer.Change(c.ctx, replaceBy(text))
		synctest.Wait()
		c.network.Partition("member-2", false)
		c.network.Partition("member-1", true)
		_, err = proposer.Change(c.ctx, replaceBy(edited(text, "more")))
		value, _ = c.process("member-2").register.Read(c.ctx)
	})
	convey.Convey("A member that missed a change is sent the missing chunks within the same round", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(value) == edited(text, "more"), convey.ShouldBeTrue)
	})
}

func TestPartialTransferIsResumed(t *testing.T) {
	text := randomText(largeText, 1)
	var errs []error
	var value []byte
	var bytes int64
	runInCluster(t, func(c *cluster) {
		c.process("member-0").register.Change(c.ctx, replaceBy(text))
		weighing := &byteCountingCaller{Caller: c.network.Caller(outsider)}
		reader := New(Config{Name: testRegister, Self: outsider, View: c.View, Caller: weighing})
		// Each call takes most of the time that a read has.
		c.network.AddRule(networktest.Rule{From: outsider, Path: fetchCall(testRegister).Path(), Delay: 700 * time.Millisecond})
		for range 20 {
			ctx, cancel := context.WithTimeout(c.ctx, 1500*time.Millisecond)
			read, err := reader.Read(ctx)
			cancel()
			errs = append(errs, err)
			if value = read; err == nil {
				break
			}
		}
		bytes = weighing.take()
	})
	convey.Convey("Chunks that have arrived are kept for the next attempt, and sent once", t, func() {
		convey.So(rpcerror.ExecutionOf(errs[0]), convey.ShouldEqual, rpcerror.NotExecuted)
		convey.So(errs[len(errs)-1], convey.ShouldBeNil)
		convey.So(string(value) == text, convey.ShouldBeTrue)
		convey.So(bytes, convey.ShouldBeLessThan, largeText)
	})
}

func TestReaderFetchesFromAnotherMember(t *testing.T) {
	text := randomText(largeText, 1)
	var value []byte
	var err error
	runInCluster(t, func(c *cluster) {
		c.process("member-0").register.Change(c.ctx, replaceBy(text))
		synctest.Wait()
		for _, member := range []string{"member-0", "member-1"} {
			c.network.AddRule(networktest.Rule{From: outsider, To: member, Path: fetchCall(testRegister).Path(), Drop: true})
		}
		value, err = c.proposer(outsider, nil).Read(c.ctx)
	})
	convey.Convey("Members that serve no chunks delay a read only until the fetch times out", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(value) == text, convey.ShouldBeTrue)
	})
}

func TestAcceptorStoresOnlyWhatTheManifestNames(t *testing.T) {
	text := randomText(3*inlineValueBytes, 1)
	manifest := chunks.NewChunking([]byte(text), nil).Manifest()
	spoilt := manifest
	spoilt.Sum[0]++
	var packed [][]byte
	for _, chunk := range chunks.Split([]byte(text)) {
		packed = append(packed, chunks.Pack(chunk))
	}
	convey.Convey("Given an acceptor", t, func() {
		store := storage.NewMemory()
		acceptor := readyAcceptor(store, noView)
		accept := func(sent content) (reply, error) {
			return acceptor.serveAccept(context.Background(), acceptRequest{ProposalNumber: ProposalNumber{Counter: 1}, State: state{Sequence: 1}, Content: &sent})
		}
		storedValue := func() string {
			replica, err := acceptor.load(1)
			convey.So(err, convey.ShouldBeNil)
			return string(replica.accepted.State.Value)
		}
		convey.Convey("a value whose chunks are missing is not stored, and the answer names the missing ones", func() {
			answer, err := accept(content{Manifest: manifest, Chunks: packed[1:]})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Outcome, convey.ShouldEqual, chunksMissing)
			convey.So(answer.Missing, convey.ShouldResemble, manifest.Chunks[:chunks.SumBytes])
			convey.So(storedValue(), convey.ShouldBeEmpty)
			convey.Convey("and is stored once they were pushed", func() {
				_, err := acceptor.servePush(context.Background(), pushRequest{Chunks: packed[:1]})
				convey.So(err, convey.ShouldBeNil)
				answer, err := accept(content{Manifest: manifest})
				convey.So(err, convey.ShouldBeNil)
				convey.So(answer.Outcome, convey.ShouldEqual, granted)
				convey.So(storedValue() == text, convey.ShouldBeTrue)
			})
		})
		convey.Convey("a value that is not what its manifest names is refused as not executed", func() {
			_, err := accept(content{Manifest: spoilt, Chunks: packed})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			convey.So(storedValue(), convey.ShouldBeEmpty)
		})
		convey.Convey("so is what is no packed chunk, and what is no manifest", func() {
			_, err := accept(content{Manifest: manifest, Chunks: [][]byte{{1, 2, 3}}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			_, err = acceptor.servePush(context.Background(), pushRequest{Chunks: [][]byte{{1, 2, 3}}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			_, err = accept(content{Manifest: chunks.Manifest{Bytes: -1}})
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
		})
		convey.Convey("the bytes of pushed chunks of values that nobody proposes are bounded", func() {
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

// A member of an older build serves no chunked accept requests, and would take one without a value for an empty value.
func TestMembersOfOlderBuildsGetInlineValues(t *testing.T) {
	text := randomText(largeText, 1)
	var read []byte
	var err error
	runInCluster(t, func(c *cluster) {
		for _, member := range []string{"member-0", "member-1"} {
			c.serveAsOlderBuild(member)
		}
		_, err = c.process("member-2").register.Change(c.ctx, replaceBy(text))
		c.network.Partition("member-2", true)
		read, _ = c.process("member-1").register.Read(c.ctx)
	})
	convey.Convey("A majority of them has accepted the value", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(read) == text, convey.ShouldBeTrue)
	})
}

// serveAsOlderBuild lets a member answer as one without chunk support.
func (c *cluster) serveAsOlderBuild(address string) {
	acceptor := c.process(address).register.config.Acceptor
	mux := transport.NewMux()
	transport.Handle(mux, prepareCall(testRegister), acceptor.prepare)
	transport.Handle(mux, acceptCall(testRegister), acceptor.accept)
	transport.Handle(mux, readCall(testRegister), acceptor.read)
	c.network.Serve(address, mux)
}

// All members propose changes of one large value at once.
func TestConcurrentChangesOfLargeValues(t *testing.T) {
	text := randomText(largeText, 1)
	succeeded := 0
	runInCluster(t, func(c *cluster) {
		var running sync.WaitGroup
		var mutex sync.Mutex
		for _, member := range c.view.Members {
			running.Go(func() {
				for i := range 6 {
					_, err := c.process(member).register.Change(c.ctx, replaceBy(edited(text, randomText(20, uint64(i)))))
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

// transferDelay is that of each message of a change, so that a fault begins in the middle of its transfer.
const transferDelay = 200 * time.Millisecond

// changeUnderFault lets a member change a large value that all have, in messages that take a while, and begins a fault after some of
// them. It returns the change's error, and what each member reads once the fault has ended.
func changeUnderFault(t *testing.T, after time.Duration, begin, end func(c *cluster)) (values []string, changeErr error) {
	t.Helper()
	runInCluster(t, func(c *cluster) {
		changing := c.process("member-0").register
		if _, err := changing.Change(c.ctx, replaceBy(randomText(largeText, 1))); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		c.network.AddRule(networktest.Rule{From: "member-0", Delay: transferDelay})
		changed := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
			defer cancel()
			_, err := changing.Change(ctx, replaceBy(randomText(largeText, 2)))
			changed <- err
		}()
		<-time.After(after)
		begin(c)
		changeErr = <-changed
		end(c)
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

// A peer stands still, or is cut off, in the middle of a transfer: at its first message, between its rounds, and in the last one.
func TestFaultsInTheMiddleOfATransfer(t *testing.T) {
	before, after := randomText(largeText, 1), randomText(largeText, 2)
	for _, at := range []time.Duration{transferDelay / 2, 3 * transferDelay / 2, 5 * transferDelay / 2} {
		frozen, frozenErr := changeUnderFault(t, at,
			func(c *cluster) { c.network.Delay("member-1", 4*time.Second) },
			func(*cluster) { <-time.After(4 * time.Second) })
		convey.Convey("A member stands still for 4 s: the change is stored by the others, and read by all", t, func() {
			convey.So(frozenErr, convey.ShouldBeNil)
			for _, value := range frozen {
				convey.So(value == after, convey.ShouldBeTrue)
			}
		})
		cut, cutErr := changeUnderFault(t, at,
			func(c *cluster) { c.network.Partition("member-0", true) },
			func(c *cluster) { c.network.Partition("member-0", false) })
		convey.Convey("The member that changes it is cut off: afterwards all read one whole value, the new one if that was confirmed", t, func() {
			for _, value := range cut {
				convey.So(value == before || value == after, convey.ShouldBeTrue)
				convey.So(value == cut[0], convey.ShouldBeTrue)
			}
			if cutErr == nil {
				convey.So(cut[0] == after, convey.ShouldBeTrue)
			}
		})
	}
}
