package fleet

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

const (
	storedFolder   = "testdata/stored"
	storedDump     = "testdata/stored.json" // contents of the log in storedFolder, in hex
	updateVariable = "GOLDEN_UPDATE"        // environment variable; 1 regenerates the stored data
	storedSelf     = membership.Name("a")
)

var (
	storedNames    = []membership.Name{"a", "b", "c"}
	storedVoters   = []consensus.Voter{{Name: "a", ID: 0x11}, {Name: "b", ID: 0x22}, {Name: "c", ID: 0x33}}
	storedQuota    = quota.Quota{Rate: 100, Burst: 50, MinimumShare: 0.25}
	storedContract = residency.Contract{Zones: []string{"north", "south"}, RestrictsAggregators: true, Indexes: []string{"reads"}}
	// storedState is the state in the stored snapshot.
	storedState = consensus.State{
		Index:     7,
		Contracts: residency.Table{Version: 5, Contracts: map[residency.Tenant]residency.Contract{"acme": storedContract}},
		Quotas:    map[quota.Tenant]quota.Quota{"acme": storedQuota}, QuotasVersion: 6,
		LargestMinimums: map[quota.Tenant]consensus.MinimumRate{"acme": {Rate: 30, Burst: 15}},
		FileContracts:   2, FileQuotas: 3, Voters: storedVoters,
		Applied:       []consensus.AppliedCommand{{ID: "c-1", Index: 5}, {ID: "c-2", Index: 6, Failure: "nothing"}},
		InitialVoters: storedVoters,
	}
	storedTables = tablesRecord{
		Incarnation: 0xabcdef, Table: &residency.Table{Version: 5, Contracts: map[residency.Tenant]residency.Contract{"acme": storedContract}},
		Quotas: map[quota.Tenant]quota.Quota{"acme": storedQuota}, QuotasVersion: 6, Received: true,
	}
	// storedCommands are the log entries after the snapshot, starting at index 8.
	storedCommands = []consensus.Command{
		{ID: "c-3", Author: "ann", Reason: "new", Contract: &consensus.ContractChange{Tenant: "beta", Contract: &residency.Contract{Zones: []string{"west"}}}},
		{ID: "c-4", Author: "ann", Reason: "more", Quota: &consensus.QuotaChange{Tenant: "beta", Quota: &quota.Quota{Rate: 8, Burst: 4, MinimumShare: 0.5}}},
		{ID: "c-5", Author: "file", File: &consensus.FileTables{
			ContractsVersion: 2, Contracts: map[residency.Tenant]residency.Contract{"late": {Zones: []string{"east"}}},
			QuotasVersion: 4, Quotas: map[quota.Tenant]quota.Quota{"acme": {Rate: 200, Burst: 50, MinimumShare: 0.25}},
		}},
	}
	// stateAfterCommit is the state after the commands up to the commit index of the stored hard state.
	stateAfterCommit = consensus.State{
		Index: 10,
		Contracts: residency.Table{Version: 8, Contracts: map[residency.Tenant]residency.Contract{
			"acme": storedContract, "beta": {Zones: []string{"west"}}}},
		Quotas: map[quota.Tenant]quota.Quota{"acme": {Rate: 200, Burst: 50, MinimumShare: 0.25}}, QuotasVersion: 10,
		LargestMinimums: map[quota.Tenant]consensus.MinimumRate{"acme": {Rate: 50, Burst: 15}, "beta": {Rate: 4, Burst: 2}},
		FileContracts:   2, FileQuotas: 4, Voters: storedVoters,
		Applied: []consensus.AppliedCommand{{ID: "c-1", Index: 5}, {ID: "c-2", Index: 6, Failure: "nothing"}, {ID: "c-3", Index: 8}, {ID: "c-4", Index: 9},
			{ID: "c-5", Index: 10, Failure: "contracts: version 2 is not above 2, which is held"}},
		InitialVoters: storedVoters,
	}
)

// encodeCanonical encodes a value in the same way as package consensus.
func encodeCanonical(value any) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	encoded, err := mode.Marshal(value)
	if err != nil {
		panic(err) // unreachable: every encoded type consists of plain structures
	}
	return encoded
}

// storedSave returns the save that the stored log contains: a hard state, a snapshot, three committed commands, and one that is not
// committed.
func storedSave() *consensus.Save {
	save := &consensus.Save{
		Hard: &pb.HardState{Term: proto.Uint64(4), Vote: proto.Uint64(0x22), Commit: proto.Uint64(10)},
		Snapshot: &pb.Snapshot{Data: encodeCanonical(&storedState), Metadata: &pb.SnapshotMetadata{
			ConfState: &pb.ConfState{Voters: []uint64{0x11, 0x22, 0x33}}, Index: proto.Uint64(7), Term: proto.Uint64(3)}},
	}
	normal := pb.EntryNormal
	add := func(term uint64, command consensus.Command) {
		index := 8 + uint64(len(save.Entries))
		save.Entries = append(save.Entries, &pb.Entry{Type: &normal, Term: proto.Uint64(term), Index: proto.Uint64(index), Data: encodeCanonical(&command)})
	}
	for _, command := range storedCommands {
		add(3, command)
	}
	add(4, consensus.Command{ID: "c-6", Contract: &consensus.ContractChange{Tenant: "acme"}})
	return save
}

func openStoredLog(t *testing.T, folder string) (*aggregatorstore.Log, aggregatorstore.LogContents) {
	t.Helper()
	log, contents, err := aggregatorstore.OpenLog(folder, time.Second, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return log, contents
}

func saveNow(t *testing.T, log *aggregatorstore.Log, save aggregatorstore.LogUpdate) {
	t.Helper()
	saved := make(chan error, 1)
	log.Save(save, func(err error) { saved <- err })
	if err := <-saved; err != nil {
		t.Fatal(err)
	}
}

// dumpLog returns the contents of a log as JSON, with the bytes in hex.
func dumpLog(contents aggregatorstore.LogContents) string {
	dump := map[string]map[string]string{"values": {}, "entries": {}, "of the file": {"id": strconv.FormatUint(contents.ID, 16)}}
	for name, value := range contents.Values {
		dump["values"][name] = hex.EncodeToString(value)
	}
	for _, entry := range contents.Entries {
		dump["entries"][strconv.FormatUint(entry.Index, 10)] = hex.EncodeToString(entry.Data)
	}
	text, err := json.MarshalIndent(dump, "", " ")
	if err != nil {
		panic(err) // unreachable: maps of strings can be encoded
	}
	return string(text) + "\n"
}

func makeStoredLog(t *testing.T) {
	t.Helper()
	os.RemoveAll(storedFolder)
	log, _ := openStoredLog(t, storedFolder)
	saveNow(t, log, aggregatorstore.LogUpdate{Entries: []aggregatorstore.Entry{{Index: 7, Data: []byte("cut off")}, {Index: 8, Data: []byte("replaced")}}})
	out, err := encodeSave(storedSave())
	if err != nil {
		t.Fatal(err)
	}
	saveNow(t, log, out)
	saveNow(t, log, aggregatorstore.LogUpdate{Values: map[string][]byte{valueTables: encodeCanonical(&storedTables)}})
	log.Stop()
	log, contents := openStoredLog(t, storedFolder)
	log.Stop()
	if err := os.WriteFile(storedDump, []byte(dumpLog(contents)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// applyCommitted applies the committed entries and returns the resulting state.
func applyCommitted(t *testing.T, machine *consensus.Machine) consensus.State {
	t.Helper()
	for {
		if _, has := machine.NextSave(); !has {
			return *machine.State()
		}
		if _, err := machine.Saved(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestStoredDataOfEarlierBuildIsReadable(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		makeStoredLog(t)
	}
	golden, err := os.ReadFile(storedDump)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given a log that an earlier build wrote", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		log, contents := openStoredLog(t, folder)
		defer log.Stop()
		So(contents.Quarantined, ShouldBeEmpty)
		So(dumpLog(contents), ShouldEqual, string(golden))

		Convey("the tables are read", func() {
			f := &Fleet{stored: contents, logger: zap.NewNop()}
			So(f.readTables(), ShouldResemble, storedTables)
			So(f.tables.received, ShouldBeTrue)
		})
		Convey("the hard state, the snapshot and the entries are read", func() {
			stored, err := decodeConsensusState(&contents)
			So(err, ShouldBeNil)
			expected := storedSave()
			So(stored.ID, ShouldEqual, contents.ID)
			So(proto.Equal(stored.Hard, expected.Hard), ShouldBeTrue)
			So(proto.Equal(stored.Snapshot, expected.Snapshot), ShouldBeTrue)
			So(len(stored.Entries), ShouldEqual, len(expected.Entries))
			for i := range expected.Entries {
				So(proto.Equal(stored.Entries[i], expected.Entries[i]), ShouldBeTrue)
			}
		})
		Convey("a voter applies the committed entries after the snapshot", func() {
			stored, err := decodeConsensusState(&contents)
			So(err, ShouldBeNil)
			stored.ID = storedVoters[0].ID
			machine, err := consensus.New(storedSelf, storedNames, stored)
			So(err, ShouldBeNil)
			So(*machine.State(), ShouldResemble, storedState)
			So(applyCommitted(t, machine), ShouldResemble, stateAfterCommit)
			So(machine.Term(), ShouldEqual, 4)
		})
		Convey("this build writes the same, so that the earlier one can read it", func() {
			out, err := encodeSave(storedSave())
			So(err, ShouldBeNil)
			rewritten := aggregatorstore.LogContents{ID: contents.ID, Values: out.Values, Entries: out.Entries}
			rewritten.Values[valueTables] = encodeCanonical(&storedTables)
			So(dumpLog(rewritten), ShouldEqual, string(golden))
		})
	})
}
