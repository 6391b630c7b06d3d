// Package settings reads and validates the settings object that every instance is given at its start, for both the
// aggregator and the bench's adapter.
package settings

import (
	"encoding/json"

	"puffinlink.example/puffinlink/policy"
)

// Settings are the policy's settings, with those of the network side.
type Settings struct {
	policy.Settings
	Net Net
}

// Net are the settings of the network side: names, which the policy does not know, and limits of connections. Times are in
// seconds.
type Net struct {
	Indexes, Customers, Locations, Kinds []string // each in the order of its ids
	Shards                               int
	Streams                              int     // calls that one connection carries at once
	Idle                                 float64 // a connection idle for so long is closed by its backend
	Connect                              float64 // a connect that takes longer has failed; a probe too, as the settings have no other value for it
	Loads                                bool    // probes may ask for a load report
}

// wire is the settings object's JSON, with the operators' keys; other keys are ignored.
type wire struct {
	GranularityS float64  `json:"granularityS"`
	Ordinal      int      `json:"ordinal"`
	Siblings     int      `json:"siblings"`
	Zone         int      `json:"zone"`
	Azs          []string `json:"azs"`
	Models       []string `json:"models"`
	Stats        struct {
		How string `json:"how"`
	} `json:"stats"`
	MembershipMode string  `json:"membershipMode"`
	OverShareWorth float64 `json:"overShareWorth"`
	RequestClasses []struct {
		PromiseS      float64 `json:"promiseS"`
		GiveUpS       float64 `json:"giveUpS"`
		Worth         float64 `json:"worth"`
		LateWorth     float64 `json:"lateWorth"`
		RepeatWindowS float64 `json:"repeatWindowS"`
		Effect        string  `json:"effect"`
		Name          string  `json:"name"`
	} `json:"requestClasses"`
	Tenants []struct {
		Name      string  `json:"name"`
		Portion   float64 `json:"portion"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
	Specifics struct {
		Places       int       `json:"places"`
		Width        int       `json:"width"`
		PerCall      int       `json:"perCall"`
		Slices       int       `json:"slices"`
		CallCostS    float64   `json:"callCostS"`
		ClassNeed    []float64 `json:"classNeed"`
		FloorByClass []float64 `json:"floorByClass"`
		ShortWorth   []float64 `json:"shortWorth"`
		SecondStep   []int     `json:"secondStep"`
	} `json:"specifics"`
	Limits struct {
		Cancel          bool    `json:"cancel"`
		Probing         bool    `json:"probing"`
		MayTell         bool    `json:"mayTell"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		RetryAfter      bool    `json:"retryAfter"`
		MostTries       int     `json:"mostTries"`
		MostHeld        int     `json:"mostHeld"`
		Multiplex       int     `json:"multiplex"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
		IdleCloseS      float64 `json:"idleCloseS"`
	} `json:"limits"`
	Invariants struct {
		AnswerSlackS float64  `json:"answerSlackS"`
		AskEveryS    float64  `json:"askEveryS"`
		ColdS        float64  `json:"coldS"`
		ColdShare    float64  `json:"coldShare"`
		DrainGraceS  float64  `json:"drainGraceS"`
		FallMultiple float64  `json:"fallMultiple"`
		FallS        float64  `json:"fallS"`
		ExtraShare   *float64 `json:"extraShare"`
		BudgetSpanS  *float64 `json:"budgetSpanS"`
		FreeResends  float64  `json:"freeResends"`
	} `json:"invariants"`
	Prices struct {
		CrossZone      float64 `json:"crossZone"`
		Waste          float64 `json:"waste"`
		Probe          float64 `json:"probe"`
		LateFail       float64 `json:"lateFail"`
		Handshake      float64 `json:"handshake"`
		Connection     float64 `json:"connection"`
		Peer           float64 `json:"peer"`
		MembershipMode float64 `json:"membershipMode"`
	} `json:"prices"`
}

var effects = map[string]policy.Effect{
	"repeatable": policy.Idempotent, "by_key": policy.Deduplicated, "once": policy.AtMostOnce,
}

// Read parses the settings object. Every number is validated, so that a mistake in a site's files shows at the start and not as
// an odd decision later; an error is a ValidationError.
func Read(seed uint64, text []byte) (Settings, error) {
	var raw wire
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, invalid("settings: expected a JSON object: %v", err)
	}
	layout, limits, rules, prices := &raw.Specifics, &raw.Limits, &raw.Invariants, &raw.Prices
	result := Settings{Net: Net{Locations: raw.Azs, Kinds: raw.Models, Shards: layout.Slices, Streams: limits.Multiplex,
		Idle: limits.IdleCloseS, Connect: limits.ConnectTimeoutS, Loads: raw.Stats.How == "answers" || raw.Stats.How == "probe"}}
	result.Settings = policy.Settings{
		Seed: seed, Self: policy.AggregatorNo(raw.Ordinal), Aggregators: raw.Siblings, Location: policy.LocationID(raw.Zone),
		StepInterval: raw.GranularityS, OverQuotaValue: raw.OverShareWorth, ListOnRequest: raw.MembershipMode == "subscribe",
		Layout: policy.Layout{Cells: layout.Places, Width: layout.Width, SubqueriesPerCall: layout.PerCall, CallCost: layout.CallCostS},
		Limits: policy.Limits{Cancel: limits.Cancel, Probe: limits.Probing, PeerMessages: limits.MayTell, Hedge: limits.MayDuplicate,
			RetryAfter: limits.RetryAfter, MaxAttempts: limits.MostTries, MaxPending: limits.MostHeld,
			MaxRetryAfter: limits.MaxRetryAfterS, ConnectTimeout: limits.ConnectTimeoutS},
		Rules: policy.Rules{AnswerSlack: rules.AnswerSlackS, ListPollEvery: rules.AskEveryS, SlowStartShare: rules.ColdShare,
			SlowStartS: rules.ColdS, DrainGrace: rules.DrainGraceS, OverloadMultiple: rules.FallMultiple, OverloadWindowS: rules.FallS,
			RetryBudgetMin: rules.FreeResends},
		Prices: policy.Prices{CrossLocation: prices.CrossZone, Waste: prices.Waste, Probe: prices.Probe, LateFailure: prices.LateFail,
			Handshake: prices.Handshake, Connection: prices.Connection, Peer: prices.Peer, Membership: prices.MembershipMode},
	}
	if rules.ExtraShare != nil && rules.BudgetSpanS != nil {
		result.Rules.RetryBudget, result.Rules.RetryBudgetRatio, result.Rules.RetryBudgetS = true, *rules.ExtraShare, *rules.BudgetSpanS
	}
	for i, class := range raw.RequestClasses {
		effect, known := effects[class.Effect]
		if !known {
			return result, invalid("settings: requestClasses[%d].effect is %q, expected repeatable, by_key or once", i, class.Effect)
		}
		index := policy.IndexSettings{Soft: class.PromiseS, Hard: class.GiveUpS, Value: class.Worth, LateValue: class.LateWorth,
			Effect: effect, DedupS: class.RepeatWindowS}
		index.Required, index.Minimum, index.PartialValue = valueAt(layout.ClassNeed, i), valueAt(layout.FloorByClass, i), valueAt(layout.ShortWorth, i)
		if i < len(layout.SecondStep) {
			index.SecondStep = layout.SecondStep[i]
		}
		result.Indexes = append(result.Indexes, index)
		result.Net.Indexes = append(result.Net.Indexes, class.Name)
	}
	for _, class := range raw.Tenants {
		result.Customers = append(result.Customers, policy.CustomerSettings{Share: class.Portion, QuotaPerS: class.QuotaPerS})
		result.Net.Customers = append(result.Net.Customers, class.Name)
	}
	return result, check(&raw)
}

// Numbered maps names to their ids, which are their indexes.
func Numbered[ID ~int](names []string) map[string]ID {
	m := make(map[string]ID, len(names))
	for i, name := range names {
		m[name] = ID(i)
	}
	return m
}

// valueAt is list[i], or 0 beyond the list's end.
func valueAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
