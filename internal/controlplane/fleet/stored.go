package fleet

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
)

// tablesRecord is the stored form of a node's incarnation and of the tables that it received. With them the node can apply the
// tables after a restart even if it reaches no other node.
type tablesRecord struct {
	Incarnation   sealedmessage.Incarnation    `cbor:"1,keyasint"`
	Table         *residency.Table             `cbor:"2,keyasint"`
	Quotas        map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasVersion consensus.QuotasVersion      `cbor:"4,keyasint"`
	Received      bool                         `cbor:"5,keyasint"`
}

// Names of the values in the store. They are part of the stored data and must not change.
const (
	valueTables    = "tables"
	valueHardState = "hard"
	valueSnapshot  = "snapshot"
)

// readTables decodes the stored tables. It ignores tables that are unreadable or that did not come from a granter.
func (f *Fleet) readTables() (t tablesRecord) {
	if v := f.stored.Values[valueTables]; v != nil {
		if err := cbor.Unmarshal(v, &t); err != nil {
			f.logger.Error("fleet stored tables unreadable", zap.Error(err))
			return tablesRecord{}
		}
	}
	if !t.Received {
		t.Table, t.Quotas = nil, nil
	}
	f.tables.received = t.Received
	return t
}

// saveTables stores the tables and this node's incarnation. A tablesWritten event follows.
func (f *Fleet) saveTables() {
	quotas := f.tables.versions.Quotas
	switch {
	case f.settings.Directory == "": // nothing is stored, and the next process starts without minimums
		f.tables.minimumsVersion = quotas
		return
	case f.store == nil: // restartVoter opens the store and saves the tables
		return
	}
	if failpoint.Pass(failpoint.SaveTables).Fail {
		f.handleEvent(&event{kind: tablesWritten, err: errInjected})
		return
	}
	record := encode(tablesRecord{f.sealer.Incarnation(), f.tables.contracts, f.tables.quotas, quotas, f.tables.received})
	f.store.Save(aggregatorstore.LogUpdate{Values: map[string][]byte{valueTables: record}},
		func(err error) { f.events.Put(event{kind: tablesWritten, err: err, quotas: quotas}) })
}

// decodeConsensusState decodes the voter's state from the contents of the store.
func decodeConsensusState(contents *aggregatorstore.LogContents) (stored consensus.Stored, err error) {
	stored.ID = contents.ID
	if v := contents.Values[valueHardState]; v != nil {
		stored.Hard = &pb.HardState{}
		if err := proto.Unmarshal(v, stored.Hard); err != nil {
			return stored, fmt.Errorf("consensus hard state: %w", err)
		}
	}
	if v := contents.Values[valueSnapshot]; v != nil {
		stored.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(v, stored.Snapshot); err != nil {
			return stored, fmt.Errorf("consensus snapshot: %w", err)
		}
	}
	for _, e := range contents.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return stored, fmt.Errorf("consensus entry %d: %w", e.Index, err)
		}
		stored.Entries = append(stored.Entries, entry)
	}
	return stored, nil
}

// encodeSave encodes a save of the voter for the store.
func encodeSave(save *consensus.Save) (encoded aggregatorstore.LogUpdate, err error) {
	encoded.Values = map[string][]byte{}
	if save.Hard != nil {
		if encoded.Values[valueHardState], err = proto.Marshal(save.Hard); err != nil {
			return encoded, err
		}
	}
	if save.Snapshot != nil {
		encoded.TruncateTo = save.Snapshot.GetMetadata().GetIndex()
		if encoded.Values[valueSnapshot], err = proto.Marshal(save.Snapshot); err != nil {
			return encoded, err
		}
	}
	for _, e := range save.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return encoded, err
		}
		encoded.Entries = append(encoded.Entries, aggregatorstore.Entry{Index: e.GetIndex(), Data: data})
	}
	return encoded, nil
}
