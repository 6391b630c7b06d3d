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

// Kinds of messages. The numbers are part of the encoded messages and must not change.
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

// grantRequest is sent by each node to the granter a few times a second. It requests tokens and the tables that changed. It also
// reports the versions of the contracts and quotas that the sender applies.
type grantRequest struct {
	Number            uint64                  `cbor:"1,keyasint"`
	MembershipVersion int                     `cbor:"2,keyasint"`
	StrictHash        uint64                  `cbor:"3,keyasint"` // hash of the strict tenants of the sender
	Contracts         residency.Version       `cbor:"4,keyasint"` // version of the sender's contracts
	AppliedContracts  residency.Version       `cbor:"5,keyasint"` // version that all subqueries of the sender comply with
	Quotas            consensus.QuotasVersion `cbor:"6,keyasint"`
	Requests          []quota.Request         `cbor:"7,keyasint,omitempty"`
	MinimumsVersion   consensus.QuotasVersion `cbor:"8,keyasint"` // version of the minimums that the sender applies, also after a restart
}

// grantResponse answers a grantRequest. If Confirmed is false the sender is not the granter, and Leader is the node that the
// sender believes to be it.
type grantResponse struct {
	Number    uint64                       `cbor:"1,keyasint"`
	Confirmed bool                         `cbor:"2,keyasint,omitempty"`
	Leader    membership.Name              `cbor:"3,keyasint,omitempty"`
	Versions  tableVersions                `cbor:"4,keyasint"`
	Table     *residency.Table             `cbor:"5,keyasint,omitempty"` // set if the requester has another version
	Quotas    map[quota.Tenant]quota.Quota `cbor:"6,keyasint,omitempty"` // set if the requester has another version
	Grants    []quota.Grant                `cbor:"7,keyasint,omitempty"`
}

// tableVersions holds the versions of the tables that a node has.
type tableVersions struct {
	Contracts residency.Version       `cbor:"1,keyasint"`
	Quotas    consensus.QuotasVersion `cbor:"2,keyasint"`
}

// commandRequest forwards a command, or a progress query, to the leader.
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

// staleIncarnation notifies a node that another node has received messages with a higher incarnation under its name.
type staleIncarnation struct {
	Highest sealedmessage.Incarnation `cbor:"1,keyasint"`
}

// reportBatch holds outlier reports from one or more nodes.
type reportBatch struct {
	Reports []outlier.Report `cbor:"1,keyasint"`
}

// encode encodes the body of a message, or a stored record.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // unreachable: every encoded type consists of plain structures
	}
	return b
}

// decode decodes the body of a message. The CBOR library limits the nesting depth and the sizes.
func decode[T any](body []byte) (v T, err error) {
	err = cbor.Unmarshal(body, &v)
	return v, err
}
