package configuration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// lossyNetwork transmits calls in memory with random delays, and loses some requests and answers.
type lossyNetwork struct {
	muxes           map[string]*transport.Mux
	lossProbability float64

	mutex  sync.Mutex
	random random.PCG
}

func (n *lossyNetwork) randomUnit() float64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Unit()
}

func (n *lossyNetwork) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if err := n.transmitOneWay(ctx); err != nil {
		return err
	}
	if err := callMux(n.muxes[address], route, request, reply); err != nil {
		return err
	}
	return n.transmitOneWay(ctx)
}

func (n *lossyNetwork) transmitOneWay(ctx context.Context) error {
	delay := time.Duration(n.randomUnit() * float64(5*time.Millisecond))
	if n.randomUnit() < n.lossProbability {
		delay = time.Minute
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return rpcerror.WrapMayHaveExecuted(ctx.Err())
	}
}

// newLossyCluster returns the members of a register on a lossy network.
func newLossyCluster(seed uint64) []*Configurator {
	view := replicaset.View{Version: 1, Members: []string{"a:1", "b:1", "c:1"}}
	currentView := func() replicaset.View { return view }
	network := &lossyNetwork{muxes: make(map[string]*transport.Mux), lossProbability: 0.03, random: random.PCG(seed)}
	var members []*Configurator
	for _, address := range view.Members {
		acceptor := register.NewAcceptor(register.AcceptorConfig{
			Name:  "configuration",
			Store: storage.NewMemory(),
			Ready: func() bool { return true },
			View:  currentView,
		})
		proposer := register.New(register.Config{
			Name: "configuration", Self: address, Acceptor: acceptor, View: currentView, Caller: network,
		})
		member := New(Options{Register: proposer, Caller: network, Members: currentView, Address: address, Logger: zap.NewNop()})
		network.muxes[address] = transport.NewMux()
		acceptor.Serve(network.muxes[address])
		member.Mount(network.muxes[address])
		members = append(members, member)
	}
	return members
}

// sendUntilClear sends an update to one member after another, as operators do, until its outcome is clear.
func sendUntilClear(members []*Configurator, first int, request sentUpdate) Outcome {
	for attempt := first; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		outcome := members[attempt%len(members)].Put(ctx, request.ifMatch, request.body)
		cancel()
		if outcome.Kind != Unclear && outcome.Kind != Unavailable {
			return outcome
		}
	}
}

type sentUpdate struct {
	ifMatch uint64
	body    []byte
}

// Operators compete for every version on a network that loses messages. Exactly one update per version is accepted. Every accepted
// update is accepted again when it is sent again later, by any member.
func TestOneUpdatePerVersionIsAcceptedOnALossyNetwork(t *testing.T) {
	for seed := range uint64(5) {
		virtualtime.Test(t, func(t *testing.T) {
			if err := raceOperators(newLossyCluster(seed)); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			<-time.After(register.RoundLimit) // wait until lost calls have ended
		})
	}
}

func raceOperators(members []*Configurator) error {
	defer func() {
		for _, member := range members {
			member.close()
		}
	}()
	var accepted []sentUpdate
	current := uint64(0)
	for range 10 {
		updates, outcomes := make([]sentUpdate, 8), make([]Outcome, 8)
		var racing sync.WaitGroup
		for i := range updates {
			updates[i] = sentUpdate{ifMatch: current, body: bodyOf(int(current)+1+i/2, 1000+i)}
			racing.Go(func() { outcomes[i] = sendUntilClear(members, i, updates[i]) })
		}
		racing.Wait()
		winner, err := indexOfOnlyAccepted(outcomes)
		if err != nil {
			return err
		}
		accepted = append(accepted, updates[winner])
		current = outcomes[winner].Version
	}
	for i, update := range accepted {
		if outcome := sendUntilClear(members, i, update); outcome.Kind != Accepted {
			return fmt.Errorf("outcome of an accepted update that is sent again is %v: %w", outcome.Kind, outcome.Err)
		}
	}
	return nil
}

func indexOfOnlyAccepted(outcomes []Outcome) (int, error) {
	winner := -1
	for i, outcome := range outcomes {
		switch {
		case outcome.Kind == Conflict:
		case outcome.Kind == Accepted && winner < 0:
			winner = i
		default:
			return 0, fmt.Errorf("unexpected outcome of a competing update: %v: %w", outcome.Kind, outcome.Err)
		}
	}
	if winner < 0 {
		return 0, errors.New("no update was accepted")
	}
	return winner, nil
}
