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

// tables are what a node keeps of what it heard, so that it goes by that after a restart in which it hears nothing.
type tables struct {
	Incarnation sealedmessage.Incarnation    `cbor:"1,keyasint"`
	Table       *residency.Table             `cbor:"2,keyasint"`
	Quotas      map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasAt    consensus.QuotasVersion      `cbor:"4,keyasint"`
	Heard       bool                         `cbor:"5,keyasint"`
}

// Names of values in the store.
const (
	valueTables   = "tables"
	valueHard     = "hard"
	valueSnapshot = "snapshot"
)

func (f *Fleet) readTables() (t tables) {
	if v := f.stored.Values[valueTables]; v != nil {
		if err := cbor.Unmarshal(v, &t); err != nil {
			f.log.Error("fleet: kept tables can't be read, none holds", zap.String("text", err.Error()))
			return tables{}
		}
	}
	if !t.Heard {
		t.Table, t.Quotas = nil, nil
	}
	f.heard = t.Heard
	return t
}

func (f *Fleet) saveTables() {
	quotas := f.has.Quotas
	switch {
	case f.set.Directory == "": // the next process begins with no floors at all
		f.floorsAt = quotas
		return
	case f.store == nil: // it is opened anew, and all is saved then
		return
	}
	if failpoint.Pass(failpoint.SaveTables).Fail {
		f.hear(&note{kind: tablesSaved, err: errFault})
		return
	}
	f.store.Save(aggregatorstore.LogSave{Values: map[string][]byte{valueTables: packed(tables{f.sealer.Incarnation(), f.table, f.quotas, f.has.Quotas, f.heard})}},
		func(err error) { f.in.Put(note{kind: tablesSaved, err: err, quotas: quotas}) })
}

// readCouncil reads what the council's library kept.
func readCouncil(kept *aggregatorstore.LogContents) (k consensus.Kept, err error) {
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

// asLog puts what the council has to save into the store's form.
func asLog(s *consensus.Save) (out aggregatorstore.LogSave, err error) {
	out.Values = map[string][]byte{}
	if s.Hard != nil {
		if out.Values[valueHard], err = proto.Marshal(s.Hard); err != nil {
			return out, err
		}
	}
	if s.Snapshot != nil {
		out.CutTo = s.Snapshot.GetMetadata().GetIndex()
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
