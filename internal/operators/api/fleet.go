package api

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// FleetCommand sets or clears the contract or the quota of one tenant, for all aggregators.
type FleetCommand struct {
	ID       string    `json:"id,omitempty"` // identifies the command, so that a repeated request is applied only once
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Tenant   string    `json:"tenant"`
	Contract *Contract `json:"contract,omitempty"`
	Quota    *Quota    `json:"quota,omitempty"`
	Clear    string    `json:"clear,omitempty"` // "contract" or "quota"
}

// Contract restricts a tenant's queries to zones.
type Contract struct {
	Zones                []string `json:"zones"`
	RestrictsAggregators bool     `json:"mixers_too,omitempty"`
	Indexes              []string `json:"indexes,omitempty"`
}

// Quota limits the rate of a tenant's queries over all aggregators together.
type Quota struct {
	QueriesPerSecond float64 `json:"per_s"`
	Burst            float64 `json:"burst"`
	MinimumShare     float64 `json:"floor_share"`
}

// toConsensusCommand validates the command and converts it for the consensus log. It generates an ID if there is none.
func (c *FleetCommand) toConsensusCommand() (out consensus.Command, err error) {
	if c.ID == "" {
		id := make([]byte, 16)
		rand.Read(id)
		c.ID = hex.EncodeToString(id)
	}
	out = consensus.Command{ID: consensus.CommandID(c.ID), Author: c.Author, Reason: c.Reason}
	operations := 0
	for _, present := range []bool{c.Contract != nil, c.Quota != nil, c.Clear != ""} {
		if present {
			operations++
		}
	}
	switch {
	case len(c.ID) > 128 || len(c.Author) > 64 || len(c.Reason) > 512:
		return out, invalid("id, author or reason is too long, expected at most 128, 64 and 512 bytes")
	case c.Author == "" || c.Reason == "":
		return out, invalid("expected author and reason")
	case c.Tenant == "" || operations != 1:
		return out, invalid("expected a tenant, and one of contract, quota and clear")
	case c.Contract != nil:
		out.Contract = &consensus.ContractChange{Tenant: quota.Tenant(c.Tenant),
			Contract: &residency.Contract{Zones: c.Contract.Zones, RestrictsAggregators: c.Contract.RestrictsAggregators, Indexes: c.Contract.Indexes}}
	case c.Quota != nil:
		out.Quota = &consensus.QuotaChange{Tenant: quota.Tenant(c.Tenant), Quota: &quota.Quota{Rate: c.Quota.QueriesPerSecond, Burst: c.Quota.Burst, MinimumShare: c.Quota.MinimumShare}}
	case c.Clear == "contract":
		out.Contract = &consensus.ContractChange{Tenant: quota.Tenant(c.Tenant)}
	case c.Clear == "quota":
		out.Quota = &consensus.QuotaChange{Tenant: quota.Tenant(c.Tenant)}
	default:
		return out, invalid(`clear is %q, expected "contract" or "quota"`, c.Clear)
	}
	return out, nil
}

// extendWriteDeadline doubles the time to write the response, for handlers that wait for a majority of the fleet.
func (s *Server) extendWriteDeadline(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(2 * responseWriteTimeout))
}

// registerFleetHandlers registers the handlers for fleet requests. It is called only if the aggregator belongs to a fleet.
func (s *Server) registerFleetHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/fleet", s.readOnly(s.fleetStatus))
	mux.HandleFunc("GET /v1/fleet/held", s.readOnly(s.contractProgress))
	mux.HandleFunc("GET /v1/fleet/why", s.readOnly(s.explainFleet))
	mux.HandleFunc("POST /v1/fleet", s.authorized(true, s.submitFleetCommand))
}

// failUnavailable answers a fleet request that failed, usually because no leader can be reached.
func (s *Server) failUnavailable(w http.ResponseWriter, err error) {
	s.fail(w, http.StatusServiceUnavailable, "no_leader", err.Error())
}

func (s *Server) fleetStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	status, err := s.fleet.Status()
	if err != nil {
		s.failUnavailable(w, err)
		return
	}
	reply(w, http.StatusOK, status)
}

func (s *Server) contractProgress(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", "version is "+strconv.Quote(r.FormValue("version"))+", expected that of a contract")
		return
	}
	s.extendWriteDeadline(w)
	progress, err := s.fleet.Progress(residency.Version(version), quota.Tenant(r.FormValue("tenant")))
	if err != nil {
		s.failUnavailable(w, err)
		return
	}
	reply(w, http.StatusOK, progress)
}

func (s *Server) explainFleet(w http.ResponseWriter, r *http.Request, _ string) {
	explanation, err := s.fleet.Explain(quota.Tenant(r.FormValue("tenant")), r.FormValue("index"))
	if err != nil {
		s.failUnavailable(w, err)
		return
	}
	reply(w, http.StatusOK, explanation)
}

func (s *Server) submitFleetCommand(w http.ResponseWriter, r *http.Request, operator string) {
	var c FleetCommand
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	in.DisallowUnknownFields()
	if err := in.Decode(&c); err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if operator != "" {
		c.Author = operator
	}
	command, err := c.toConsensusCommand()
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.extendWriteDeadline(w)
	res, err := s.fleet.SubmitCommand(command)
	switch {
	case err != nil:
		s.failUnavailable(w, err)
	case res.Failure != "":
		s.fail(w, http.StatusUnprocessableEntity, "refused", res.Failure)
	default:
		reply(w, http.StatusOK, res)
	}
}

// FleetStatus returns the state of the fleet as one aggregator sees it.
func (c *Client) FleetStatus(ctx context.Context) (s fleet.Status, err error) {
	err = c.Get(ctx, "/v1/fleet", &s)
	return s, err
}

// Progress returns how far a version of the contracts has been applied, for a tenant.
func (c *Client) Progress(ctx context.Context, version uint64, tenant string) (p residency.Progress, err error) {
	err = c.Get(ctx, "/v1/fleet/held?version="+strconv.FormatUint(version, 10)+"&tenant="+url.QueryEscape(tenant), &p)
	return p, err
}

// SendFleetCommand submits a command that changes a contract or a quota.
func (c *Client) SendFleetCommand(ctx context.Context, command FleetCommand) (r fleet.Result, err error) {
	err = c.post(ctx, "/v1/fleet", command, &r)
	return r, err
}

// ExplainFleet returns the contract, the lease and the quota that apply to a tenant's queries of an index.
func (c *Client) ExplainFleet(ctx context.Context, tenant, index string) (e fleet.Explanation, err error) {
	err = c.Get(ctx, "/v1/fleet/why?tenant="+url.QueryEscape(tenant)+"&index="+url.QueryEscape(index), &e)
	return e, err
}
