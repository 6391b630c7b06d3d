// Package settings parses and validates the settings object of an aggregator. Each aggregator gets the object at its
// start. The aggregator's node and the benchmark adapter call Read, which returns an error for invalid settings. The package never
// reads files.
package settings

import (
	"encoding/json"

	"puffinlink.example/puffinlink/policy"
)

// Settings are the settings of the policy and of the network side.
type Settings struct {
	policy.Settings
	Net Net
}

// Net are the settings of the network side: the names behind the policy's ids, and the limits of connections.
type Net struct {
	Indexes, Customers, Locations, MachineKinds []string // names, each at the index that is its id
	Shards                                      int
	CallsPerConnection                          int     // the maximum number of concurrent calls on a connection; 0 for no limit
	IdleTimeoutS                                float64 // how long a connection may be idle before its backend closes it; 0 for no limit
	ConnectTimeoutS                             float64 // the timeout of dials, and of probes, for which the settings have no other value
	LoadReports                                 bool    // probes request a load report
}

// wire is the JSON of the settings object. The tags are the keys that operators write. Other keys are ignored.
type wire struct {
	StepIntervalS   float64  `json:"granularityS"`
	AggregatorIndex int      `json:"ordinal"`
	AggregatorCount int      `json:"siblings"`
	Location        int      `json:"zone"`
	Locations       []string `json:"azs"`
	MachineKinds    []string `json:"models"`
	LoadReports     struct {
		Source string `json:"how"`
	} `json:"stats"`
	ListMode       string  `json:"membershipMode"`
	OverQuotaValue float64 `json:"overShareWorth"`
	Indexes        []struct {
		SoftDeadlineS float64 `json:"promiseS"`
		HardDeadlineS float64 `json:"giveUpS"`
		Value         float64 `json:"worth"`
		LateValue     float64 `json:"lateWorth"`
		DedupWindowS  float64 `json:"repeatWindowS"`
		Effect        string  `json:"effect"`
		Name          string  `json:"name"`
	} `json:"requestClasses"`
	Customers []struct {
		Name           string  `json:"name"`
		Share          float64 `json:"portion"`
		QuotaPerSecond float64 `json:"quotaPerS"`
	} `json:"tenants"`
	Layout struct {
		Cells             int       `json:"places"`
		Width             int       `json:"width"`
		SubqueriesPerCall int       `json:"perCall"`
		Shards            int       `json:"slices"`
		CallCostS         float64   `json:"callCostS"`
		RequiredShares    []float64 `json:"classNeed"`
		MinimumShares     []float64 `json:"floorByClass"`
		PartialValues     []float64 `json:"shortWorth"`
		SecondSteps       []int     `json:"secondStep"`
	} `json:"specifics"`
	Limits struct {
		Cancel             bool    `json:"cancel"`
		Probe              bool    `json:"probing"`
		PeerMessages       bool    `json:"mayTell"`
		Hedge              bool    `json:"mayDuplicate"`
		RetryAfter         bool    `json:"retryAfter"`
		MaxAttempts        int     `json:"mostTries"`
		MaxPending         int     `json:"mostHeld"`
		CallsPerConnection int     `json:"multiplex"`
		MaxRetryAfterS     float64 `json:"maxRetryAfterS"`
		ConnectTimeoutS    float64 `json:"connectTimeoutS"`
		IdleTimeoutS       float64 `json:"idleCloseS"`
	} `json:"limits"`
	Rules struct {
		AnswerSlackS       float64  `json:"answerSlackS"`
		ListPollIntervalS  float64  `json:"askEveryS"`
		SlowStartS         float64  `json:"coldS"`
		SlowStartShare     float64  `json:"coldShare"`
		DrainGraceS        float64  `json:"drainGraceS"`
		OverloadMultiple   float64  `json:"fallMultiple"`
		OverloadWindowS    float64  `json:"fallS"`
		RetryBudgetRatio   *float64 `json:"extraShare"`
		RetryBudgetWindowS *float64 `json:"budgetSpanS"`
		RetryBudgetMin     float64  `json:"freeResends"`
	} `json:"invariants"`
	Prices struct {
		CrossLocation float64 `json:"crossZone"`
		Waste         float64 `json:"waste"`
		Probe         float64 `json:"probe"`
		LateFailure   float64 `json:"lateFail"`
		Handshake     float64 `json:"handshake"`
		Connection    float64 `json:"connection"`
		Peer          float64 `json:"peer"`
		Membership    float64 `json:"membershipMode"`
	} `json:"prices"`
}

// effects maps the values of the key effect to effects.
var effects = map[string]policy.Effect{
	"repeatable": policy.Idempotent, "by_key": policy.Deduplicated, "once": policy.AtMostOnce,
}

// Read parses and validates the settings object. It rejects negative numbers, shares above 1 and lists of a wrong length, so that
// a mistake in a deployment's files is found at the start and does not cause a wrong decision later. It does not check prices.
// An error is a ValidationError.
func Read(seed uint64, text []byte) (Settings, error) {
	var raw wire
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, invalid("settings: expected a JSON object: %v", err)
	}
	layout, limits, rules, prices := &raw.Layout, &raw.Limits, &raw.Rules, &raw.Prices
	result := Settings{Net: Net{Locations: raw.Locations, MachineKinds: raw.MachineKinds, Shards: layout.Shards, CallsPerConnection: limits.CallsPerConnection,
		IdleTimeoutS: limits.IdleTimeoutS, ConnectTimeoutS: limits.ConnectTimeoutS, LoadReports: raw.LoadReports.Source == "answers" || raw.LoadReports.Source == "probe"}}
	result.Settings = policy.Settings{
		Seed: seed, Self: policy.AggregatorNumber(raw.AggregatorIndex), Aggregators: raw.AggregatorCount, Location: policy.LocationID(raw.Location),
		StepInterval: raw.StepIntervalS, OverQuotaValue: raw.OverQuotaValue, ListOnRequest: raw.ListMode == "subscribe",
		Layout: policy.Layout{Cells: layout.Cells, Width: layout.Width, SubqueriesPerCall: layout.SubqueriesPerCall, CallCost: layout.CallCostS},
		Limits: policy.Limits{Cancel: limits.Cancel, Probe: limits.Probe, PeerMessages: limits.PeerMessages, Hedge: limits.Hedge,
			RetryAfter: limits.RetryAfter, MaxAttempts: limits.MaxAttempts, MaxPending: limits.MaxPending,
			MaxRetryAfter: limits.MaxRetryAfterS, ConnectTimeout: limits.ConnectTimeoutS},
		Rules: policy.Rules{AnswerSlack: rules.AnswerSlackS, ListPollEvery: rules.ListPollIntervalS, SlowStartShare: rules.SlowStartShare,
			SlowStartS: rules.SlowStartS, DrainGrace: rules.DrainGraceS, OverloadMultiple: rules.OverloadMultiple, OverloadWindowS: rules.OverloadWindowS,
			RetryBudgetMin: rules.RetryBudgetMin},
		Prices: policy.Prices{CrossLocation: prices.CrossLocation, Waste: prices.Waste, Probe: prices.Probe, LateFailure: prices.LateFailure,
			Handshake: prices.Handshake, Connection: prices.Connection, Peer: prices.Peer, Membership: prices.Membership},
	}
	if rules.RetryBudgetRatio != nil && rules.RetryBudgetWindowS != nil {
		result.Rules.RetryBudget, result.Rules.RetryBudgetRatio, result.Rules.RetryBudgetS = true, *rules.RetryBudgetRatio, *rules.RetryBudgetWindowS
	}
	for i, indexSettings := range raw.Indexes {
		effect, known := effects[indexSettings.Effect]
		if !known {
			return result, invalid("settings: requestClasses[%d].effect is %q, expected repeatable, by_key or once", i, indexSettings.Effect)
		}
		index := policy.IndexSettings{Soft: indexSettings.SoftDeadlineS, Hard: indexSettings.HardDeadlineS, Value: indexSettings.Value, LateValue: indexSettings.LateValue,
			Effect: effect, DedupS: indexSettings.DedupWindowS}
		index.Required, index.Minimum, index.PartialValue = valueAt(layout.RequiredShares, i), valueAt(layout.MinimumShares, i), valueAt(layout.PartialValues, i)
		if i < len(layout.SecondSteps) {
			index.SecondStep = layout.SecondSteps[i]
		}
		result.Indexes = append(result.Indexes, index)
		result.Net.Indexes = append(result.Net.Indexes, indexSettings.Name)
	}
	for _, customer := range raw.Customers {
		result.Customers = append(result.Customers, policy.CustomerSettings{Share: customer.Share, QuotaPerSecond: customer.QuotaPerSecond})
		result.Net.Customers = append(result.Net.Customers, customer.Name)
	}
	return result, validate(&raw)
}

// IDsByName returns the id of each name, which is its index in names.
func IDsByName[ID ~int](names []string) map[string]ID {
	ids := make(map[string]ID, len(names))
	for i, name := range names {
		ids[name] = ID(i)
	}
	return ids
}

// valueAt returns list[i], or 0 beyond the end of the list.
func valueAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
