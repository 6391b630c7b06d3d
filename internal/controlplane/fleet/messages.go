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
	messageFailureDetector sealedmessage.Kind = 1 + iota
	messageConsensus
	messageIntroduction
	messageGrantRequest
	messageGrantResponse
	messageReports
	messageCommandRequest
	messageCommandResponse
	messageStaleIncarnation
)

// grantRequest is what each node asks the granter a few times a second: whether its contracts are the newest, for tokens, and
// what it tells at the same time.
type grantRequest struct {
	Number            uint64                  `cbor:"1,keyasint"`
	MembershipVersion int                     `cbor:"2,keyasint"`
	StrictHash        uint64                  `cbor:"3,keyasint"` // a hash of which tenants are refused where contracts are not sure
	Contracts         residency.Version       `cbor:"4,keyasint"` // the table it has
	AppliedContracts  residency.Version       `cbor:"5,keyasint"` // that all its part calls go by
	Quotas            consensus.QuotasVersion `cbor:"6,keyasint"`
	Requests          []quota.Request         `cbor:"7,keyasint,omitempty"`
	MinimumsVersion   consensus.QuotasVersion `cbor:"8,keyasint"` // whose minimums it goes by, whatever becomes of its process
}

// grantResponse answers it. Without Sure the answerer does not grant, and Leader says who may.
type grantResponse struct {
	Number    uint64                       `cbor:"1,keyasint"`
	Confirmed bool                         `cbor:"2,keyasint,omitempty"`
	Leader    membership.Name              `cbor:"3,keyasint,omitempty"`
	Versions  tableVersions                `cbor:"4,keyasint"`
	Table     *residency.Table             `cbor:"5,keyasint,omitempty"` // where the asker had another
	Quotas    map[quota.Tenant]quota.Quota `cbor:"6,keyasint,omitempty"` // the same
	Grants    []quota.Grant                `cbor:"7,keyasint,omitempty"`
}

// tableVersions are those of the tables that hold.
type tableVersions struct {
	Contracts residency.Version       `cbor:"1,keyasint"`
	Quotas    consensus.QuotasVersion `cbor:"2,keyasint"`
}

// handed is a command on its way to the leader, and what came of it on its way back.
type commandRequest struct {
	Number  uint64            `cbor:"1,keyasint"`
	Command consensus.Command `cbor:"2,keyasint"`
	Query   *progressQuery    `cbor:"3,keyasint,omitempty"`
}

type commandResponse struct {
	Number   uint64              `cbor:"1,keyasint"`
	Result   Result              `cbor:"2,keyasint"`
	Progress *residency.Progress `cbor:"3,keyasint,omitempty"`
}

// progressQuery asks the leader how far a version got.
type progressQuery struct {
	Version residency.Version `cbor:"1,keyasint"`
	Tenant  quota.Tenant      `cbor:"2,keyasint"`
}

// staleIncarnation tells a node that messages of a higher incarnation came under its name.
type staleIncarnation struct {
	Highest sealedmessage.Incarnation `cbor:"1,keyasint"`
}

// reportBatch are those of some origins.
type reportBatch struct {
	List []outlier.Report `cbor:"1,keyasint"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structures
	}
	return b
}

// decode reads a message's body; the decoder bounds depth and sizes by itself. A message that can't be read is dropped,
// which its sender takes for a lost one.
func decode[T any](body []byte) (v T, err error) {
	err = cbor.Unmarshal(body, &v)
	return v, err
}
