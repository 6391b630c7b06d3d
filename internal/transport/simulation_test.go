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

// Environment variables of the simulation. The failure message of a schedule contains its seed.
const (
	schedulesVariable = "PUFFINLINK_TRANSPORT_SCHEDULES" // number of schedules instead of defaultSchedules
	seedVariable      = "PUFFINLINK_TRANSPORT_SEED"      // seed of the only schedule to run
	defaultSchedules  = 2100
)

// Size and times of a schedule.
const (
	modelAddresses    = 3
	modelCallers      = 3
	modelCalls        = 10 // per caller
	modelEvents       = 8  // restarts and replacements of processes
	maxEventInterval  = 60 * time.Millisecond
	maxCallTimeout    = 250 * time.Millisecond // upper bound of the random timeouts of calls
	lateDeliveryDelay = 600 * time.Millisecond
	drainTime         = 2 * lateDeliveryDelay // time after which no message is in flight
)

// token identifies one call of the simulation.
type token struct {
	Caller, Number int
}

type modelRequest struct {
	Token token
	Bulk  []byte
}

type modelReply struct {
	Token     token
	Responder transport.Identity
	Bulk      []byte
}

var (
	modelAtMostOnceCall = transport.NewAtMostOnce[modelRequest, modelReply]("/model/once")
	modelIdempotentCall = transport.NewIdempotent[modelRequest, modelReply]("/model/repeat")
)

// modelCall is the record of one call.
type modelCall struct {
	token      token
	atMostOnce bool
	intended   transport.Identity // the process at the address that the caller knew before the call; zero for none
	reply      modelReply
	err        error
	executedAt []transport.Identity // in the order of the executions
}

// simulation is one schedule of calls to a few addresses at which processes are restarted and replaced.
type simulation struct {
	seed       uint64
	duplicates bool // whether the network may duplicate requests
	network    *networktest.Network

	mutex      sync.Mutex
	calls      map[token]*modelCall
	serving    map[string]transport.Identity
	violations []string
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{seed: seed, duplicates: seed%2 == 0, network: networktest.New(seed), calls: map[token]*modelCall{}, serving: map[string]transport.Identity{}}
	for i := range modelAddresses {
		s.startProcess(modelAddress(i), fmt.Sprintf("node-%d", i))
	}
	faults := networktest.Faults{LossProbability: 0.08, MaxDelay: 40 * time.Millisecond, LateProbability: 0.1, MaxLateDelay: lateDeliveryDelay}
	if s.duplicates {
		faults.DuplicateProbability = 0.3
	}
	s.network.SetFaults(faults)
	return s
}

func modelAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// startProcess starts a process at an address and replaces the one that is there.
func (s *simulation) startProcess(address, node string) {
	self := transport.NewIdentity(testCluster, node)
	mux := transport.NewMuxFor(self)
	execute := func(_ context.Context, request modelRequest) (modelReply, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		call := s.calls[request.Token]
		call.executedAt = append(call.executedAt, self)
		if request.Token.Number%5 == 4 { // some handlers fail after the execution
			return modelReply{}, rpcerror.WrapMayHaveExecuted(errors.New("failed after execution"))
		}
		return modelReply{Token: request.Token, Responder: self, Bulk: request.Bulk}, nil
	}
	transport.Handle(mux, modelAtMostOnceCall, execute)
	transport.Handle(mux, modelIdempotentCall, execute)
	s.network.Serve(address, mux)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serving[address] = self
}

// stopProcess stops the process at an address.
func (s *simulation) stopProcess(address string) { s.network.Serve(address, nil) }

func (s *simulation) servedBy(address string) transport.Identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.serving[address]
}

func (s *simulation) violation(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

// restartProcesses restarts processes at random times, or replaces them by processes of other machines.
func (s *simulation) restartProcesses(random *rand.Rand) {
	for event := range modelEvents {
		time.Sleep(time.Duration(random.Int64N(int64(2 * maxEventInterval))))
		address := modelAddress(random.IntN(modelAddresses))
		node := s.servedBy(address).Node
		if random.IntN(2) == 0 {
			node = fmt.Sprintf("node-new-%d", event)
		}
		s.stopProcess(address)
		time.Sleep(time.Duration(random.Int64N(int64(maxEventInterval))))
		s.startProcess(address, node)
	}
}

// modelCaller is a process that sends calls.
type modelCaller struct {
	simulation *simulation
	index      int
	number     int // of the latest call
	caller     transport.Caller
	known      map[string]transport.Identity // by address
}

func (c *modelCaller) run(random *rand.Rand) {
	for range modelCalls {
		time.Sleep(1 + time.Duration(random.Int64N(int64(maxEventInterval))))
		timeout := time.Duration(1 + random.Int64N(int64(maxCallTimeout)))
		c.call(modelAddress(random.IntN(modelAddresses)), random.IntN(2) == 0, timeout, random.IntN(200))
	}
}

// call sends one call with a payload of bulkBytes and records its result.
func (c *modelCaller) call(address string, atMostOnce bool, timeout time.Duration, bulkBytes int) *modelCall {
	c.number++
	call := &modelCall{token: token{c.index, c.number}, atMostOnce: atMostOnce, intended: c.known[address]}
	c.simulation.mutex.Lock()
	c.simulation.calls[call.token] = call
	c.simulation.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := modelRequest{Token: call.token, Bulk: make([]byte, bulkBytes)}
	if atMostOnce {
		call.reply, call.err = modelAtMostOnceCall.Call(ctx, c.caller, address, request)
	} else {
		call.reply, call.err = modelIdempotentCall.Call(ctx, c.caller, address, request)
	}
	c.updateKnown(address, call)
	return call
}

// updateKnown updates which process the caller knows at the address, given the result of a call.
func (c *modelCaller) updateKnown(address string, call *modelCall) {
	var misdirected *transport.MisdirectedError
	switch {
	case call.err == nil:
		c.known[address] = call.reply.Responder
	case errors.As(call.err, &misdirected) && misdirected.Actual.Node != c.known[address].Node:
		delete(c.known, address)
	}
}

// run runs the schedule in virtual time and checks the results.
func (s *simulation) run() {
	random := rand.New(rand.NewPCG(s.seed, 1))
	var running sync.WaitGroup
	var callers []*modelCaller
	for i := range modelCallers {
		caller := &modelCaller{simulation: s, index: i, known: map[string]transport.Identity{}}
		caller.caller = s.network.CallerInCluster(testCluster, fmt.Sprintf("10.1.0.%d:1", i))
		callers = append(callers, caller)
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		running.Go(func() { caller.run(callerRandom) })
	}
	running.Go(func() { s.restartProcesses(rand.New(rand.NewPCG(random.Uint64(), 3))) })
	running.Wait()
	time.Sleep(drainTime)
	synctest.Wait()
	s.check()
	s.network.SetFaults(networktest.Faults{})
	for _, caller := range callers {
		for i := range modelAddresses {
			s.checkReachability(caller, modelAddress(i))
		}
	}
}

// TestCallsInSimulatedSchedules runs seeded schedules of calls to addresses at which processes are restarted and machines are
// replaced. It guards against calls that are executed by a wrong process or more than once, and against wrong errors.
func TestCallsInSimulatedSchedules(t *testing.T) {
	first, schedules := uint64(1), defaultSchedules
	if text := os.Getenv(schedulesVariable); text != "" {
		schedules, _ = strconv.Atoi(text)
	}
	if text := os.Getenv(seedVariable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		schedules = 1
	}
	var running sync.WaitGroup
	workers := uint64(runtime.GOMAXPROCS(0))
	for worker := range workers {
		running.Go(func() {
			for seed := first + worker; seed < first+uint64(schedules); seed += workers {
				runSchedule(t, seed)
			}
		})
	}
	running.Wait()
	t.Logf("%d schedules from seed %d", schedules, first)
}

// TestSchedulesReplayFromTheirSeed runs each schedule twice and compares the results. A seed in a failure message is useful
// only if it reproduces its schedule.
func TestSchedulesReplayFromTheirSeed(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		outcomes := [2]string{}
		for i := range outcomes {
			virtualtime.Test(t, func(*testing.T) {
				s := newSimulation(seed)
				s.run()
				outcomes[i] = s.outcomes()
			})
		}
		if outcomes[0] != outcomes[1] {
			t.Errorf("seed %d has two different results:\n%s\n%s", seed, outcomes[0], outcomes[1])
		}
	}
}

// outcomes returns a text with the result of each call and the number of its executions.
func (s *simulation) outcomes() string {
	var lines []string
	for token, call := range s.calls {
		lines = append(lines, fmt.Sprintf("%v was executed %d times, got a reply: %v", token, len(call.executedAt), call.err == nil))
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

func runSchedule(t *testing.T, seed uint64) {
	virtualtime.Test(t, func(*testing.T) {
		s := newSimulation(seed)
		s.run()
		for _, violation := range s.violations {
			t.Errorf("%s (replay: %s=%d)", violation, seedVariable, seed)
		}
	})
}
