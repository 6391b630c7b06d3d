package register

import (
	"context"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// promiseLosingStore loses promises.
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

// acceptIgnoringPromise serves accept as an acceptor does that does not look at its promise.
func acceptIgnoringPromise(acceptor *Acceptor) func(context.Context, acceptRequest) (reply, error) {
	return func(ctx context.Context, request acceptRequest) (reply, error) {
		if acceptor.config.Ready() {
			acceptor.config.Store.Write(storage.Change{Table: acceptor.table(request.ViewVersion), Key: promisedKey})
		}
		return acceptor.accept(ctx, request)
	}
}

// alwaysCommitted takes what the first majority reports for committed.
func alwaysCommitted(r *round) (reply, bool) {
	latest, _ := r.latest()
	return latest, true
}

var brokenRulesInSimulation = []brokenRule{
	{name: "the acceptor forgets its promises", acceptor: func(disk *storage.Memory) storage.SnapshotStore { return promiseLosingStore{disk} }},
	{name: "the acceptor accepts below its promise", accept: acceptIgnoringPromise},
	{name: "a majority that disagrees is not made to agree before a read or a refusal", register: func(r *Register) { r.committed = alwaysCommitted }},
	{name: "a member that lost its disk votes at once", noRebuild: true},
	{name: "a proposer applies the function again without asking whether it took effect", register: func(r *Register) { r.forgetsProposals = true }},
}

// Each rule of the protocol is needed: without it, the simulation finds a history that is not linearizable.
func TestRegisterIsNotLinearizableWithoutEachRule(t *testing.T) {
	const maxSeeds = 300
	for _, broken := range brokenRulesInSimulation {
		found := uint64(0)
		for seed := uint64(1); seed <= maxSeeds && found == 0; seed++ {
			if simulate(t, seed, 3, &broken).check() == porcupine.Illegal {
				found = seed
			}
		}
		convey.Convey("Shown to be needed: "+broken.name, t, func() {
			convey.So(found, convey.ShouldBeGreaterThan, 0)
		})
		t.Logf("%s: found with seed %d", broken.name, found)
	}
}
