package register

import (
	"context"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// promiseLosingStore does not store promises.
type promiseLosingStore struct{ *storage.Memory }

// Write implements storage.Store.
func (s promiseLosingStore) Write(changes ...storage.Change) error {
	var remaining []storage.Change
	for _, change := range changes {
		if !strings.HasPrefix(change.Table, TablePrefix) || change.Key != promisedKey {
			remaining = append(remaining, change)
		}
	}
	return s.Memory.Write(remaining...)
}

// acceptIgnoringPromise returns an accept handler that deletes the stored promise before it handles a request.
func acceptIgnoringPromise(acceptor *Acceptor) func(context.Context, acceptRequest) (reply, error) {
	return func(ctx context.Context, request acceptRequest) (reply, error) {
		if acceptor.config.Ready() {
			acceptor.config.Store.Write(storage.Change{Table: acceptor.tableName(request.ViewVersion), Key: promisedKey})
		}
		return acceptor.accept(ctx, request)
	}
}

// alwaysCommitted treats the latest state of the first majority as committed, even if the replies differ.
func alwaysCommitted(r *round) (reply, bool) {
	latest, _ := r.latest()
	return latest, true
}

var brokenRulesInSimulation = []brokenRule{
	{name: "the acceptor forgets its promises", wrapStore: func(disk *storage.Memory) storage.SnapshotStore { return promiseLosingStore{disk} }},
	{name: "the acceptor accepts below its promise", acceptHandler: acceptIgnoringPromise},
	{name: "a read or a refused change does not commit the state when the majority differs", modifyRegister: func(r *Register) { r.committedReply = alwaysCommitted }},
	{name: "a member that lost its disk votes before it is rebuilt", skipRebuild: true},
	{name: "a proposer applies the function again without checking whether it took effect", modifyRegister: func(r *Register) { r.skipProposalCheck = true }},
}

// Each rule of the protocol is necessary. If a test breaks one of them, the simulation must find a history that is not
// linearizable.
func TestSimulationDetectsEachBrokenRule(t *testing.T) {
	const maxSeeds = 300
	for _, broken := range brokenRulesInSimulation {
		found := uint64(0)
		for seed := uint64(1); seed <= maxSeeds && found == 0; seed++ {
			if simulate(t, seed, 3, &broken).check() == porcupine.Illegal {
				found = seed
			}
		}
		convey.Convey("The simulation finds a violation when "+broken.name, t, func() {
			convey.So(found, convey.ShouldBeGreaterThan, 0)
		})
		t.Logf("%s: found with seed %d", broken.name, found)
	}
}
