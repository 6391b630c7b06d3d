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

// tablesRecord are what a node keeps of what it heard, so that it goes by that after a restart in which it hears nothing.
type tablesRecord struct {
	Incarnation sealedmessage.Incarnation    `cbor:"1,keyasint"`
	Table       *residency.Table             `cbor:"2,keyasint"`
	Quotas      map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasAt    consensus.QuotasVersion      `cbor:"4,keyasint"`
	Received    bool                         `cbor:"5,keyasint"`
}

// Names of values in the store.
const (
	valueTables   = "tables"
	valueHard     = "hard"
	valueSnapshot = "snapshot"
)

func (f *Fleet) readTables() (t tablesRecord) {
	if v := f.stored.Values[valueTables]; v != nil {
		if err := cbor.Unmarshal(v, &t); err != nil {
			f.logger.Error("fleet: kept tables can't be read, none holds", zap.String("text", err.Error()))
			return tablesRecord{}
		}
	}
	if !t.Received {
		t.Table, t.Quotas = nil, nil
	}
	f.tablesReceived = t.Received
	return t
}

func (f *Fleet) saveTables() {
	quotas := f.versions.Quotas
	switch {
	case f.settings.Directory == "": // the next process begins with no minimums at all
		f.minimumsVersion = quotas
		return
	case f.store == nil: // it is opened anew, and all is saved then
		return
	}
	if failpoint.Pass(failpoint.SaveTables).Fail {
		f.handleEvent(&event{kind: tablesWritten, err: errInjected})
		return
	}
	f.store.Save(aggregatorstore.LogSave{Values: map[string][]byte{valueTables: encode(tablesRecord{f.sealer.Incarnation(), f.contracts, f.quotas, f.versions.Quotas, f.tablesReceived})}},
		func(err error) { f.events.Put(event{kind: tablesWritten, err: err, quotas: quotas}) })
}

// decodeConsensusState reads what the consensus's library kept.
func decodeConsensusState(kept *aggregatorstore.LogContents) (k consensus.Stored, err error) {
	k.ID = kept.ID
	if v := kept.Values[valueHard]; v != nil {
		k.Hard = &pb.HardState{}
		if err := proto.Unmarshal(v, k.Hard); err != nil {
			return k, fmt.Errorf("council's votes: %w", err)
		}
	}
	if v := kept.Values[valueSnapshot]; v != nil {
		k.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(v, k.Snapshot); err != nil {
			return k, fmt.Errorf("council's snapshot: %w", err)
		}
	}
	for _, e := range kept.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return k, fmt.Errorf("council's entry %d: %w", e.Index, err)
		}
		k.Entries = append(k.Entries, entry)
	}
	return k, nil
}

// encodeSave puts what the consensus has to save into the store's form.
func encodeSave(s *consensus.Save) (out aggregatorstore.LogSave, err error) {
	out.Values = map[string][]byte{}
	if s.Hard != nil {
		if out.Values[valueHard], err = proto.Marshal(s.Hard); err != nil {
			return out, err
		}
	}
	if s.Snapshot != nil {
		out.TruncateTo = s.Snapshot.GetMetadata().GetIndex()
		if out.Values[valueSnapshot], err = proto.Marshal(s.Snapshot); err != nil {
			return out, err
		}
	}
	for _, e := range s.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return out, err
		}
		out.Entries = append(out.Entries, aggregatorstore.Entry{Index: e.GetIndex(), Data: data})
	}
	return out, nil
}
