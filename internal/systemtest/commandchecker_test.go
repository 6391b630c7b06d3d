package systemtest

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// checkDeliveries checks that the replies of all core machines are consistent, including replies that a relay dropped. It
// returns the violations of these rules:
//
//   - A command that one machine accepted is never refused by any machine, before or after.
//   - A version is confirmed for one command only.
//   - Only one command is confirmed on top of a version.
//   - A confirmation names the version of the command's body.
func checkDeliveries(deliveries []delivery) (violations []string) {
	accepted := map[commandKey]delivery{}
	for _, reply := range deliveries {
		if reply.status == http.StatusOK && reply.method != http.MethodGet {
			accepted[reply.key()] = reply
		}
	}
	for _, reply := range deliveries {
		if acceptance, found := accepted[reply.key()]; found && isDefinite(reply.status) && reply.status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("refused though it was accepted: %v; accepted: %v", reply, acceptance))
		}
	}
	byNumber, byBase := map[int64]commandKey{}, map[string]commandKey{}
	for key, reply := range accepted {
		if key.method != http.MethodPut {
			continue
		}
		number := versionOf([]byte(reply.answer))
		if other, found := byNumber[number]; found && other != key {
			violations = append(violations, fmt.Sprintf("version %d is confirmed for two commands: %v and %v", number, key, other))
		}
		if other, found := byBase[key.ifMatch]; found && other != key {
			violations = append(violations, fmt.Sprintf("two commands are confirmed on top of version %s: %v and %v", key.ifMatch, key, other))
		}
		if number != versionOf([]byte(key.body)) {
			violations = append(violations, fmt.Sprintf("confirmed as version %d: %v", number, reply))
		}
		byNumber[number], byBase[key.ifMatch] = key, key
	}
	return violations
}

func TestCheckDeliveriesFindsEachViolation(t *testing.T) {
	put := func(ifMatch int64, body string, status int) delivery {
		reply := putCommand(ifMatch, []byte(body))
		reply.status, reply.answer = status, body
		return reply
	}
	body, otherBody := `{"version":3}`, `{"version":3,"routes":[]}`
	Convey("Consistent confirmed, refused and indefinite replies break no rule", t, func() {
		So(checkDeliveries([]delivery{put(2, body, 200), put(2, body, 503), put(2, body, 0), put(2, body, 200), put(2, otherBody, 412)}), ShouldBeEmpty)
	})
	Convey("A refusal of an accepted command is found, before and after its confirmation", t, func() {
		So(checkDeliveries([]delivery{put(2, body, 200), put(2, body, 412)}), ShouldHaveLength, 1)
		So(checkDeliveries([]delivery{put(2, body, 412), put(2, body, 200)}), ShouldHaveLength, 1)
		cancel := delivery{method: http.MethodDelete, path: "/-/jobs/1", status: 200}
		retried := cancel
		retried.status = 409
		So(checkDeliveries([]delivery{cancel, retried}), ShouldHaveLength, 1)
	})
	Convey("Two bodies confirmed as one version or on top of one version are found", t, func() {
		So(checkDeliveries([]delivery{put(1, body, 200), put(2, otherBody, 200)}), ShouldHaveLength, 1)
		So(checkDeliveries([]delivery{put(2, body, 200), put(2, `{"version":4}`, 200)}), ShouldHaveLength, 1)
	})
}

// confirmedChanges returns the configuration changes that at least one machine confirmed, by version.
func confirmedChanges(deliveries []delivery) map[int64]delivery {
	confirmed := map[int64]delivery{}
	for _, reply := range deliveries {
		if reply.status == http.StatusOK && reply.method == http.MethodPut {
			confirmed[versionOf([]byte(reply.body))] = reply
		}
	}
	return confirmed
}

// historyOnDisk reads the configuration state from the disk of a core machine that is not running. The state includes the
// history of applied changes.
func historyOnDisk(m *machine) (state configuration.State, err error) {
	store, _, err := storage.Open(storage.OSFileSystem{}, m.dataDirectory, storage.Options{})
	if err != nil {
		return state, err
	}
	defer store.Close()
	value, err := acceptedValue(store)
	if err != nil {
		return state, err
	}
	return configuration.DecodeState(value)
}

// checkAppliedHistory compares a history of applied changes with the replies and returns the contradictions. Each change
// must build on the one before it. The history must hold each confirmed change with its version, base version and checksum,
// and no change that was refused.
func checkAppliedHistory(state configuration.State, deliveries []delivery) (violations []string) {
	recorded := map[uint64]configuration.AppliedUpdate{}
	for i, update := range state.Applied {
		recorded[update.Version] = update
		if i > 0 && update.IfMatch != state.Applied[i-1].Version {
			violations = append(violations, fmt.Sprintf("version %d builds on %d, not on %d before it", update.Version, update.IfMatch, state.Applied[i-1].Version))
		}
	}
	confirmed := confirmedChanges(deliveries)
	for version, change := range confirmed {
		update, found := recorded[uint64(version)]
		if !found || strconv.FormatUint(update.IfMatch, 10) != change.ifMatch || update.Sum != checksumOf(change.body) {
			violations = append(violations, fmt.Sprintf("version %d was confirmed, and the history has %+v (%v)", version, update, found))
		}
	}
	for _, reply := range deliveries {
		if reply.method != http.MethodPut || reply.status != http.StatusPreconditionFailed {
			continue
		}
		if applied, found := recorded[uint64(versionOf([]byte(reply.body)))]; found && applied.Sum == checksumOf(reply.body) {
			violations = append(violations, fmt.Sprintf("refused, and in the history: %v", reply))
		}
	}
	return violations
}

// acceptedValue reads the value of the configuration register from one store, as a replica set of one member.
func acceptedValue(store storage.Store) ([]byte, error) {
	alone := replicaset.View{Version: 1, Members: []string{"disk"}}
	view := func() replicaset.View { return alone }
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: "configuration", Store: store, Ready: func() bool { return true }, View: view,
	})
	return register.New(register.Config{Name: "configuration", Self: "disk", Acceptor: acceptor, View: view}).Read(context.Background())
}

// checksumOf returns the checksum by which the history identifies a body: the first 16 bytes of its SHA-256.
func checksumOf(body string) (sum [16]byte) {
	full := sha256.Sum256([]byte(body))
	copy(sum[:], full[:])
	return sum
}
