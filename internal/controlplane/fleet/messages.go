package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
)

// Kinds of messages.
const (
	messageMembers sealedmessage.Kind = 1 + iota
	messageCouncil
	messageIntro
	messageAsk
	messageGrant
	messageReports
	messageCommand
	messageResult
	messageNewer
)

// asking is what each node asks the granter a few times a second: whether its contracts are the newest, for tokens, and
// what it tells at the same time.
type asking struct {
	No        uint64                  `cbor:"1,keyasint"`
	Roster    int                     `cbor:"2,keyasint"`
	Strict    uint64                  `cbor:"3,keyasint"` // a hash of which tenants are refused where contracts are not sure
	Contracts residency.Version       `cbor:"4,keyasint"` // the table it has
	Holds     residency.Version       `cbor:"5,keyasint"` // that all its part calls go by
	Quotas    consensus.QuotasVersion `cbor:"6,keyasint"`
	Asks      []quota.Ask             `cbor:"7,keyasint,omitempty"`
	Floors    consensus.QuotasVersion `cbor:"8,keyasint"` // whose floors it goes by, whatever becomes of its process
}

// granting answers it. Without Sure the answerer does not grant, and Leader says who may.
type granting struct {
	No       uint64                       `cbor:"1,keyasint"`
	Sure     bool                         `cbor:"2,keyasint,omitempty"`
	Leader   membership.Name              `cbor:"3,keyasint,omitempty"`
	Versions versions                     `cbor:"4,keyasint"`
	Table    *residency.Table             `cbor:"5,keyasint,omitempty"` // where the asker had another
	Quotas   map[quota.Tenant]quota.Quota `cbor:"6,keyasint,omitempty"` // the same
	Grants   []quota.Grant                `cbor:"7,keyasint,omitempty"`
}

// versions are those of the tables that hold.
type versions struct {
	Contracts residency.Version       `cbor:"1,keyasint"`
	Quotas    consensus.QuotasVersion `cbor:"2,keyasint"`
}

// handed is a command on its way to the leader, and what came of it on its way back.
type handed struct {
	No      uint64            `cbor:"1,keyasint"`
	Command consensus.Command `cbor:"2,keyasint"`
	Query   *query            `cbor:"3,keyasint,omitempty"`
}

type handedBack struct {
	No       uint64              `cbor:"1,keyasint"`
	Result   Result              `cbor:"2,keyasint"`
	Progress *residency.Progress `cbor:"3,keyasint,omitempty"`
}

// query asks the leader how far a version got.
type query struct {
	Version residency.Version `cbor:"1,keyasint"`
	Tenant  quota.Tenant      `cbor:"2,keyasint"`
}

// newer tells a node that messages of a higher incarnation came under its name.
type newer struct {
	Known sealedmessage.Incarnation `cbor:"1,keyasint"`
}

// reports are those of some origins.
type reports struct {
	List []outlier.Report `cbor:"1,keyasint"`
}

func packed(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structures
	}
	return b
}

// unpacked reads a message's body; the decoder bounds depth and sizes by itself. A message that can't be read is dropped,
// which its sender takes for a lost one.
func unpacked[T any](body []byte) (v T, err error) {
	err = cbor.Unmarshal(body, &v)
	return v, err
}
