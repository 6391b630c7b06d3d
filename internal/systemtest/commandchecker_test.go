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

// checkDeliveries compares all replies of core machines, also the dropped ones, with each other: a command that was accepted
// is refused nowhere and at no time, and no version is confirmed for two bodies, nor are two bodies on top of
// one version.
func checkDeliveries(deliveries []delivery) (violations []string) {
	accepted := map[commandKey]delivery{}
	for _, one := range deliveries {
		if one.status == http.StatusOK && one.method != http.MethodGet {
			accepted[one.key()] = one
		}
	}
	for _, one := range deliveries {
		if confirmed, found := accepted[one.key()]; found && isDefinite(one.status) && one.status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("refused though it was accepted: %v; accepted: %v", one, confirmed))
		}
	}
	byNumber, byBase := map[int64]commandKey{}, map[string]commandKey{}
	for key, one := range accepted {
		if key.method != http.MethodPut {
			continue
		}
		number := versionOf([]byte(one.answer))
		if other, found := byNumber[number]; found && other != key {
			violations = append(violations, fmt.Sprintf("version %d is confirmed for two commands: %v and %v", number, key, other))
		}
		if other, found := byBase[key.ifMatch]; found && other != key {
			violations = append(violations, fmt.Sprintf("two commands are confirmed on top of version %s: %v and %v", key.ifMatch, key, other))
		}
		if number != versionOf([]byte(key.body)) {
			violations = append(violations, fmt.Sprintf("confirmed as version %d: %v", number, one))
		}
		byNumber[number], byBase[key.ifMatch] = key, key
	}
	return violations
}

// TestDeliveryChecker shows that each rule finds what breaks it.
func TestDeliveryChecker(t *testing.T) {
	put := func(ifMatch int64, body string, status int) delivery {
		one := putCommand(ifMatch, []byte(body))
		one.status, one.answer = status, body
		return one
	}
	one, other := `{"version":3}`, `{"version":3,"routes":[]}`
	Convey("Confirmed, refused and indefinite replies that agree break no rule", t, func() {
		So(checkDeliveries([]delivery{put(2, one, 200), put(2, one, 503), put(2, one, 0), put(2, one, 200), put(2, other, 412)}), ShouldBeEmpty)
	})
	Convey("A refusal of an accepted command is found, before and after its confirmation", t, func() {
		So(checkDeliveries([]delivery{put(2, one, 200), put(2, one, 412)}), ShouldHaveLength, 1)
		So(checkDeliveries([]delivery{put(2, one, 412), put(2, one, 200)}), ShouldHaveLength, 1)
		cancel := delivery{method: http.MethodDelete, path: "/-/jobs/1", status: 200}
		retried := cancel
		retried.status = 409
		So(checkDeliveries([]delivery{cancel, retried}), ShouldHaveLength, 1)
	})
	Convey("A version that is confirmed for two bodies is found, and two bodies on top of one version", t, func() {
		So(checkDeliveries([]delivery{put(1, one, 200), put(2, other, 200)}), ShouldHaveLength, 1)
		So(checkDeliveries([]delivery{put(2, one, 200), put(2, `{"version":4}`, 200)}), ShouldHaveLength, 1)
	})
}

// confirmedChanges are the changes that some machine confirmed, by version.
func confirmedChanges(deliveries []delivery) map[int64]delivery {
	confirmed := map[int64]delivery{}
	for _, one := range deliveries {
		if one.status == http.StatusOK && one.method == http.MethodPut {
			confirmed[versionOf([]byte(one.body))] = one
		}
	}
	return confirmed
}

// historyOnDisk reads the history of applied changes from the disk of a core machine that has ended.
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

// checkAppliedHistory returns what in a history contradicts the confirmations: it must hold each confirmed change, under its number
// and on top of its version, and nothing that was refused.
func checkAppliedHistory(state configuration.State, deliveries []delivery) (violations []string) {
	recorded := map[uint64]configuration.AppliedUpdate{}
	for i, one := range state.Applied {
		recorded[one.Version] = one
		if i > 0 && one.IfMatch != state.Applied[i-1].Version {
			violations = append(violations, fmt.Sprintf("version %d builds on %d, not on %d before it", one.Version, one.IfMatch, state.Applied[i-1].Version))
		}
	}
	confirmed := confirmedChanges(deliveries)
	for version, change := range confirmed {
		one, found := recorded[uint64(version)]
		if !found || strconv.FormatUint(one.IfMatch, 10) != change.ifMatch || one.Sum != checksumOf(change.body) {
			violations = append(violations, fmt.Sprintf("version %d was confirmed, and the history has %+v (%v)", version, one, found))
		}
	}
	for _, one := range deliveries {
		if one.method != http.MethodPut || one.status != http.StatusPreconditionFailed {
			continue
		}
		if applied, found := recorded[uint64(versionOf([]byte(one.body)))]; found && applied.Sum == checksumOf(one.body) {
			violations = append(violations, fmt.Sprintf("refused, and in the history: %v", one))
		}
	}
	return violations
}

// acceptedValue is the value of the configuration's register that one disk holds.
func acceptedValue(store storage.Store) ([]byte, error) {
	alone := replicaset.View{Version: 1, Members: []string{"disk"}}
	view := func() replicaset.View { return alone }
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: "configuration", Store: store, Ready: func() bool { return true }, View: view,
	})
	return register.New(register.Config{Name: "configuration", Self: "disk", Acceptor: acceptor, View: view}).Read(context.Background())
}

// checksumOf is the checksum under which the history names a body.
func checksumOf(body string) (sum [16]byte) {
	full := sha256.Sum256([]byte(body))
	copy(sum[:], full[:])
	return sum
}
