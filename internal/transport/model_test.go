package transport_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// Settings of the model test. A schedule that fails names its seed.
const (
	schedulesVariable = "PUFFINLINK_TRANSPORT_SCHEDULES" // how many schedules, instead of the usual number
	seedVariable      = "PUFFINLINK_TRANSPORT_SEED"      // replays one schedule
	usualSchedules    = 2100
)

// Size of a schedule.
const (
	modelAddresses = 3
	modelCallers   = 3
	modelCalls     = 10 // of each caller
	modelEvents    = 8  // restarts and replacements
	modelPause     = 60 * time.Millisecond
	modelLimit     = 250 * time.Millisecond // of a call, at most
	modelLate      = 600 * time.Millisecond
	modelSettled   = 2 * modelLate // after which nothing is under way
)

// token names one call of the model.
type token struct {
	Caller, Number int
}

type modelRequest struct {
	Token token
	Bulk  []byte
}

type modelReply struct {
	Token token
	By    transport.Identity
	Bulk  []byte
}

var (
	modelOnce   = transport.NewOnce[modelRequest, modelReply]("/model/once")
	modelRepeat = transport.NewRepeatable[modelRequest, modelReply]("/model/repeat")
)

// modelCall is one call with all that is known of it.
type modelCall struct {
	token token
	once  bool
	meant transport.Identity // the process that the caller had met at the address; zero for none
	reply modelReply
	err   error
	ranAt []transport.Identity // in order
}

// world is one schedule: callers, and processes that follow each other at a few addresses.
type world struct {
	seed    uint64
	doubles bool // requests may arrive twice
	network *networktest.Network

	mutex   sync.Mutex
	calls   map[token]*modelCall
	serving map[string]transport.Identity
	faults  []string
}

func newWorld(seed uint64) *world {
	w := &world{seed: seed, doubles: seed%2 == 0, network: networktest.New(seed), calls: map[token]*modelCall{}, serving: map[string]transport.Identity{}}
	for i := range modelAddresses {
		w.begin(modelAddress(i), fmt.Sprintf("node-%d", i))
	}
	faults := networktest.Faults{Lose: 0.08, Delay: 40 * time.Millisecond, Late: 0.1, LateBy: modelLate}
	if w.doubles {
		faults.Duplicate = 0.3
	}
	w.network.SetFaults(faults)
	return w
}

func modelAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// begin starts a process at an address, in place of the one there.
func (w *world) begin(address, node string) {
	self := transport.NewIdentity(testCluster, node)
	mux := transport.NewMuxFor(self)
	run := func(_ context.Context, request modelRequest) (modelReply, error) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		call := w.calls[request.Token]
		call.ranAt = append(call.ranAt, self)
		if request.Token.Number%5 == 4 { // so that refusals by a handler occur as well, and after the run
			return modelReply{}, rpcerror.WrapMayHaveExecuted(errors.New("broke down midway"))
		}
		return modelReply{Token: request.Token, By: self, Bulk: request.Bulk}, nil
	}
	transport.Handle(mux, modelOnce, run)
	transport.Handle(mux, modelRepeat, run)
	w.network.Serve(address, mux)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.serving[address] = self
}

// end stops the process at an address.
func (w *world) end(address string) { w.network.Serve(address, nil) }

func (w *world) servedBy(address string) transport.Identity {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.serving[address]
}

func (w *world) fault(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, arguments...))
}

// disturb restarts processes and lets other machines take addresses.
func (w *world) disturb(random *rand.Rand) {
	for event := range modelEvents {
		time.Sleep(time.Duration(random.Int64N(int64(2 * modelPause))))
		address := modelAddress(random.IntN(modelAddresses))
		node := w.servedBy(address).Node
		if random.IntN(2) == 0 {
			node = fmt.Sprintf("node-new-%d", event)
		}
		w.end(address)
		time.Sleep(time.Duration(random.Int64N(int64(modelPause))))
		w.begin(address, node)
	}
}

// modelCaller is one process that calls.
type modelCaller struct {
	world  *world
	index  int
	number int
	caller transport.Caller
	met    map[string]transport.Identity // by address
}

func (c *modelCaller) run(random *rand.Rand) {
	for range modelCalls {
		time.Sleep(1 + time.Duration(random.Int64N(int64(modelPause))))
		limit := time.Duration(1 + random.Int64N(int64(modelLimit)))
		c.call(modelAddress(random.IntN(modelAddresses)), random.IntN(2) == 0, limit, random.IntN(200))
	}
}

// call makes one call and notes how it ended.
func (c *modelCaller) call(address string, once bool, limit time.Duration, bulk int) *modelCall {
	c.number++
	one := &modelCall{token: token{c.index, c.number}, once: once, meant: c.met[address]}
	c.world.mutex.Lock()
	c.world.calls[one.token] = one
	c.world.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request := modelRequest{Token: one.token, Bulk: make([]byte, bulk)}
	if once {
		one.reply, one.err = modelOnce.Call(ctx, c.caller, address, request)
	} else {
		one.reply, one.err = modelRepeat.Call(ctx, c.caller, address, request)
	}
	c.learn(address, one)
	return one
}

// learn notes what the caller may conclude of who serves the address.
func (c *modelCaller) learn(address string, one *modelCall) {
	var misdirected *transport.MisdirectedError
	switch {
	case one.err == nil:
		c.met[address] = one.reply.By
	case errors.As(one.err, &misdirected) && misdirected.Found.Node != c.met[address].Node:
		delete(c.met, address)
	}
}

// play runs the schedule in simulated time.
func (w *world) play() {
	random := rand.New(rand.NewPCG(w.seed, 1))
	var running sync.WaitGroup
	var callers []*modelCaller
	for i := range modelCallers {
		caller := &modelCaller{world: w, index: i, met: map[string]transport.Identity{}}
		caller.caller = w.network.CallerOf(testCluster, fmt.Sprintf("10.1.0.%d:1", i))
		callers = append(callers, caller)
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		running.Go(func() { caller.run(own) })
	}
	running.Go(func() { w.disturb(rand.New(rand.NewPCG(random.Uint64(), 3))) })
	running.Wait()
	time.Sleep(modelSettled)
	synctest.Wait()
	w.judge()
	w.network.SetFaults(networktest.Faults{})
	for _, caller := range callers {
		for i := range modelAddresses {
			w.judgeContact(caller, modelAddress(i))
		}
	}
}

// TestModelOfCalls plays seeded schedules of calls while processes and machines follow each other at the addresses.
func TestModelOfCalls(t *testing.T) {
	first, schedules := uint64(1), usualSchedules
	if text := os.Getenv(schedulesVariable); text != "" {
		schedules, _ = strconv.Atoi(text)
	}
	if text := os.Getenv(seedVariable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		schedules = 1
	}
	var worlds sync.WaitGroup
	parts := uint64(runtime.GOMAXPROCS(0))
	for part := range parts {
		worlds.Go(func() {
			for seed := first + part; seed < first+uint64(schedules); seed += parts {
				playSeed(t, seed)
			}
		})
	}
	worlds.Wait()
	t.Logf("%d schedules from seed %d", schedules, first)
}

// TestModelReplays plays schedules twice: a seed that is printed would be worth little otherwise.
func TestModelReplays(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		ends := [2]string{}
		for i := range ends {
			virtualtime.Test(t, func(*testing.T) {
				w := newWorld(seed)
				w.play()
				ends[i] = w.summary()
			})
		}
		if ends[0] != ends[1] {
			t.Errorf("seed %d ends in two ways:\n%s\n%s", seed, ends[0], ends[1])
		}
	}
}

// summary tells how each call ended and how often it ran.
func (w *world) summary() string {
	var lines []string
	for token, call := range w.calls {
		lines = append(lines, fmt.Sprintf("%v ran %d times, answered %v", token, len(call.ranAt), call.err == nil))
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

func playSeed(t *testing.T, seed uint64) {
	virtualtime.Test(t, func(*testing.T) {
		w := newWorld(seed)
		w.play()
		for _, fault := range w.faults {
			t.Errorf("%s (replay: %s=%d)", fault, seedVariable, seed)
		}
	})
}
