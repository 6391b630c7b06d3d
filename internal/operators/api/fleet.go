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

// FleetCommand sets or clears one tenant's contract or quota, for all aggregators.
type FleetCommand struct {
	ID       string    `json:"id,omitempty"` // the same command sent again acts once
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Tenant   string    `json:"tenant"`
	Contract *Contract `json:"contract,omitempty"`
	Quota    *Quota    `json:"quota,omitempty"`
	Clear    string    `json:"clear,omitempty"` // "contract" or "quota"
}

// Contract keeps a tenant's queries inside zones.
type Contract struct {
	Zones          []string `json:"zones"`
	AggregatorsToo bool     `json:"mixers_too,omitempty"`
	Indexes        []string `json:"indexes,omitempty"`
}

// Quota is a tenant's over all aggregators.
type Quota struct {
	PerS  float64 `json:"per_s"`
	Burst float64 `json:"burst"`
	Floor float64 `json:"floor_share"`
}

// command checks a command and puts it into the fleet's terms.
func (c *FleetCommand) command() (out consensus.Command, err error) {
	if c.ID == "" {
		id := make([]byte, 16)
		rand.Read(id)
		c.ID = hex.EncodeToString(id)
	}
	out = consensus.Command{ID: consensus.CommandID(c.ID), Author: c.Author, Reason: c.Reason}
	set := 0
	for _, is := range []bool{c.Contract != nil, c.Quota != nil, c.Clear != ""} {
		if is {
			set++
		}
	}
	switch {
	case len(c.ID) > 128 || len(c.Author) > 64 || len(c.Reason) > 512:
		return out, invalid("id, author or reason is too long, expected at most 128, 64 and 512 bytes")
	case c.Author == "" || c.Reason == "":
		return out, invalid("expected author and reason")
	case c.Tenant == "" || set != 1:
		return out, invalid("expected a tenant, and one of contract, quota and clear")
	case c.Contract != nil:
		out.Contract = &consensus.ContractChange{Tenant: quota.Tenant(c.Tenant),
			Contract: &residency.Contract{Zones: c.Contract.Zones, RestrictsAggregators: c.Contract.AggregatorsToo, Indexes: c.Contract.Indexes}}
	case c.Quota != nil:
		out.Quota = &consensus.QuotaChange{Tenant: quota.Tenant(c.Tenant), Quota: &quota.Quota{Rate: c.Quota.PerS, Burst: c.Quota.Burst, MinimumShare: c.Quota.Floor}}
	case c.Clear == "contract":
		out.Contract = &consensus.ContractChange{Tenant: quota.Tenant(c.Tenant)}
	case c.Clear == "quota":
		out.Quota = &consensus.QuotaChange{Tenant: quota.Tenant(c.Tenant)}
	default:
		return out, invalid(`clear is %q, expected "contract" or "quota"`, c.Clear)
	}
	return out, nil
}

// patient gives an answer that waits for a majority longer than others have.
func (s *Server) patient(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(2 * slowAnswer))
}

// serveFleet serves the fleet's part of the listener, where there is a fleet.
func (s *Server) serveFleet(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/fleet", s.read(s.showFleet))
	mux.HandleFunc("GET /v1/fleet/held", s.read(s.progressFleet))
	mux.HandleFunc("GET /v1/fleet/why", s.read(s.whyFleet))
	mux.HandleFunc("POST /v1/fleet", s.guarded(true, s.commandFleet))
}

// fleetFails answers where nobody that may know does.
func (s *Server) fleetFails(w http.ResponseWriter, err error) {
	s.fail(w, http.StatusServiceUnavailable, "no_leader", err.Error())
}

func (s *Server) showFleet(w http.ResponseWriter, _ *http.Request, _ string) {
	shown, err := s.fleet.Status()
	if err != nil {
		s.fleetFails(w, err)
		return
	}
	reply(w, http.StatusOK, shown)
}

func (s *Server) progressFleet(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", "version is "+strconv.Quote(r.FormValue("version"))+", expected that of a contract")
		return
	}
	s.patient(w)
	p, err := s.fleet.Progress(residency.Version(version), quota.Tenant(r.FormValue("tenant")))
	if err != nil {
		s.fleetFails(w, err)
		return
	}
	reply(w, http.StatusOK, p)
}

func (s *Server) whyFleet(w http.ResponseWriter, r *http.Request, _ string) {
	e, err := s.fleet.Explain(quota.Tenant(r.FormValue("tenant")), r.FormValue("index"))
	if err != nil {
		s.fleetFails(w, err)
		return
	}
	reply(w, http.StatusOK, e)
}

func (s *Server) commandFleet(w http.ResponseWriter, r *http.Request, who string) {
	var c FleetCommand
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody))
	in.DisallowUnknownFields()
	if err := in.Decode(&c); err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if who != "" {
		c.Author = who
	}
	do, err := c.command()
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.patient(w)
	res, err := s.fleet.SubmitCommand(do)
	switch {
	case err != nil:
		s.fleetFails(w, err)
	case res.Failure != "":
		s.fail(w, http.StatusUnprocessableEntity, "refused", res.Failure)
	default:
		reply(w, http.StatusOK, res)
	}
}

// Fleet reads what one aggregator knows of the fleet.
func (c *Client) Fleet(ctx context.Context) (s fleet.Status, err error) {
	err = c.Get(ctx, "/v1/fleet", &s)
	return s, err
}

// Progress reads how far a version of the contracts got, for a tenant.
func (c *Client) Progress(ctx context.Context, version uint64, tenant string) (p residency.Progress, err error) {
	err = c.Get(ctx, "/v1/fleet/held?version="+strconv.FormatUint(version, 10)+"&tenant="+url.QueryEscape(tenant), &p)
	return p, err
}

// Change sends a command to the fleet.
func (c *Client) Change(ctx context.Context, command FleetCommand) (r fleet.Result, err error) {
	err = c.post(ctx, "/v1/fleet", command, &r)
	return r, err
}

// WhyFleet reads which contract, lease and quota decide about a tenant's queries of an index.
func (c *Client) WhyFleet(ctx context.Context, tenant, index string) (e fleet.Explanation, err error) {
	err = c.Get(ctx, "/v1/fleet/why?tenant="+url.QueryEscape(tenant)+"&index="+url.QueryEscape(index), &e)
	return e, err
}
