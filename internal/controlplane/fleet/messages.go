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

// Kinds of messages; the numbers are on the wire.
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

// grantRequest goes from each node to the granter a few times a second. It asks for tokens, and for the tables that are newer
// than the sender's, and reports what the sender goes by.
type grantRequest struct {
	Number            uint64                  `cbor:"1,keyasint"`
	MembershipVersion int                     `cbor:"2,keyasint"`
	StrictHash        uint64                  `cbor:"3,keyasint"` // a hash of the tenants that are refused where contracts are not confirmed
	Contracts         residency.Version       `cbor:"4,keyasint"` // version of the sender's table
	AppliedContracts  residency.Version       `cbor:"5,keyasint"` // version that all its subqueries go by
	Quotas            consensus.QuotasVersion `cbor:"6,keyasint"`
	Requests          []quota.Request         `cbor:"7,keyasint,omitempty"`
	MinimumsVersion   consensus.QuotasVersion `cbor:"8,keyasint"` // whose minimums it goes by, also after a restart
}

// grantResponse answers it. Unless Confirmed the sender does not grant, and Leader says who may.
type grantResponse struct {
	Number    uint64                       `cbor:"1,keyasint"`
	Confirmed bool                         `cbor:"2,keyasint,omitempty"`
	Leader    membership.Name              `cbor:"3,keyasint,omitempty"`
	Versions  tableVersions                `cbor:"4,keyasint"`
	Table     *residency.Table             `cbor:"5,keyasint,omitempty"` // where the requester has another version
	Quotas    map[quota.Tenant]quota.Quota `cbor:"6,keyasint,omitempty"` // likewise
	Grants    []quota.Grant                `cbor:"7,keyasint,omitempty"`
}

// tableVersions are the versions of the tables that a node goes by.
type tableVersions struct {
	Contracts residency.Version       `cbor:"1,keyasint"`
	Quotas    consensus.QuotasVersion `cbor:"2,keyasint"`
}

// commandRequest forwards a command, or a question about one, to the leader.
type commandRequest struct {
	Number  uint64            `cbor:"1,keyasint"`
	Command consensus.Command `cbor:"2,keyasint"`
	Query   *progressQuery    `cbor:"3,keyasint,omitempty"`
}

// commandResponse is the outcome of a commandRequest.
type commandResponse struct {
	Number   uint64              `cbor:"1,keyasint"`
	Result   Result              `cbor:"2,keyasint"`
	Progress *residency.Progress `cbor:"3,keyasint,omitempty"`
}

// progressQuery asks the leader how many nodes apply a version of the contracts.
type progressQuery struct {
	Version residency.Version `cbor:"1,keyasint"`
	Tenant  quota.Tenant      `cbor:"2,keyasint"`
}

// staleIncarnation notifies a node that messages of a higher incarnation came under its name.
type staleIncarnation struct {
	Highest sealedmessage.Incarnation `cbor:"1,keyasint"`
}

// reportBatch are outlier reports of one or more origins.
type reportBatch struct {
	List []outlier.Report `cbor:"1,keyasint"`
}

// encode encodes a message's body, or a stored record.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain structures
	}
	return b
}

// decode decodes a message's body; the decoder bounds depth and sizes by itself.
func decode[T any](body []byte) (v T, err error) {
	err = cbor.Unmarshal(body, &v)
	return v, err
}
