// Package settings reads and checks the object that every instance is handed at its start, once for both the
// bench's adapter and the aggregator. It decides nothing.
package settings

import (
	"encoding/json"
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// Settings are what the module is told, with what only sockets need.
type Settings struct {
	policy.Settings
	Net Net
}

// Net is what sockets need beside the module: names, which the module does not know, and limits of connections.
type Net struct {
	Indexes, Customers, Locations, Kinds []string // each in the order of its ids
	Shards                               int
	Streams                              int     // calls that one connection carries at once
	Idle                                 float64 // a connection idle for so long is closed by its backend
	Connect                              float64 // a connect that takes longer has failed; a probe too, of which no other figure is told
	Loads                                bool    // probes may ask for a load report
}

// wire holds the keys that either has a place for; others are ignored.
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
	"repeatable": policy.Idempotent, "by_key": policy.Fingerprinted, "once": policy.OnceOnly,
}

// Read takes the object as text. Every figure that is stated is checked, so that a slip in a site's files
// shows at the start and not as an odd decision later.
func Read(seed uint64, text []byte) (Settings, error) {
	var w wire
	if err := json.Unmarshal(text, &w); err != nil {
		return Settings{}, invalid("settings: expected a JSON object: %v", err)
	}
	sp, li, in, pr := &w.Specifics, &w.Limits, &w.Invariants, &w.Prices
	s := Settings{Net: Net{Locations: w.Azs, Kinds: w.Models, Shards: sp.Slices, Streams: li.Multiplex,
		Idle: li.IdleCloseS, Connect: li.ConnectTimeoutS, Loads: w.Stats.How == "answers" || w.Stats.How == "probe"}}
	s.Settings = policy.Settings{
		Seed: seed, Self: policy.AggregatorNo(w.Ordinal), Aggregators: w.Siblings, Location: policy.LocationID(w.Zone),
		Step: w.GranularityS, OverShare: w.OverShareWorth, ListOnRequest: w.MembershipMode == "subscribe",
		Layout: policy.Layout{Cells: sp.Places, Width: sp.Width, CallSubqueries: sp.PerCall, CallCost: sp.CallCostS},
		Limits: policy.Limits{Cancel: li.Cancel, Probe: li.Probing, PeerMessages: li.MayTell, Hedge: li.MayDuplicate,
			RetryAfter: li.RetryAfter, MaxAttempts: li.MostTries, MaxPending: li.MostHeld,
			MaxRetryAfter: li.MaxRetryAfterS, ConnectTimeout: li.ConnectTimeoutS},
		Rules: policy.Rules{AnswerSlack: in.AnswerSlackS, ListPollEvery: in.AskEveryS, SlowStartShare: in.ColdShare,
			SlowStartS: in.ColdS, DrainGrace: in.DrainGraceS, CrashMultiple: in.FallMultiple, CrashWindowS: in.FallS,
			RetryBudgetFree: in.FreeResends},
		Prices: policy.Prices{CrossLocation: pr.CrossZone, Waste: pr.Waste, Probe: pr.Probe, LateFail: pr.LateFail,
			Handshake: pr.Handshake, Connection: pr.Connection, Peer: pr.Peer, Lists: pr.MembershipMode},
	}
	if in.ExtraShare != nil && in.BudgetSpanS != nil {
		s.Rules.RetryBudget, s.Rules.RetryBudgetPer, s.Rules.RetryBudgetS = true, *in.ExtraShare, *in.BudgetSpanS
	}
	for i, c := range w.RequestClasses {
		effect, known := effects[c.Effect]
		if !known {
			return s, invalid("settings: requestClasses[%d].effect is %q, expected repeatable, by_key or once", i, c.Effect)
		}
		x := policy.IndexSettings{Soft: c.PromiseS, Hard: c.GiveUpS, Value: c.Worth, LateValue: c.LateWorth,
			Effect: effect, DedupS: c.RepeatWindowS}
		x.Required, x.Minimum, x.PartialValue = at(sp.ClassNeed, i), at(sp.FloorByClass, i), at(sp.ShortWorth, i)
		if i < len(sp.SecondStep) {
			x.SecondStep = sp.SecondStep[i]
		}
		s.Indexes = append(s.Indexes, x)
		s.Net.Indexes = append(s.Net.Indexes, c.Name)
	}
	for _, c := range w.Tenants {
		s.Customers = append(s.Customers, policy.CustomerSettings{Share: c.Portion, QuotaPerS: c.QuotaPerS})
		s.Net.Customers = append(s.Net.Customers, c.Name)
	}
	return s, check(&w)
}

// Numbered gives names their ids, which are their places.
func Numbered[ID ~int](names []string) map[string]ID {
	m := make(map[string]ID, len(names))
	for i, name := range names {
		m[name] = ID(i)
	}
	return m
}

func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func check(w *wire) error {
	sp, in := &w.Specifics, &w.Invariants
	type figure struct {
		name  string
		value float64
	}
	atLeast0 := []figure{{"granularityS", w.GranularityS}, {"siblings", float64(w.Siblings)},
		{"specifics.places", float64(sp.Places)}, {"specifics.width", float64(sp.Width)},
		{"specifics.perCall", float64(sp.PerCall)}, {"specifics.callCostS", sp.CallCostS},
		{"limits.mostTries", float64(w.Limits.MostTries)}, {"limits.mostHeld", float64(w.Limits.MostHeld)},
		{"specifics.slices", float64(sp.Slices)}, {"limits.multiplex", float64(w.Limits.Multiplex)},
		{"limits.idleCloseS", w.Limits.IdleCloseS}, {"limits.maxRetryAfterS", w.Limits.MaxRetryAfterS}, {"limits.connectTimeoutS", w.Limits.ConnectTimeoutS},
		{"invariants.answerSlackS", in.AnswerSlackS}, {"invariants.askEveryS", in.AskEveryS},
		{"invariants.coldS", in.ColdS}, {"invariants.drainGraceS", in.DrainGraceS},
		{"invariants.fallMultiple", in.FallMultiple}, {"invariants.fallS", in.FallS},
		{"invariants.freeResends", in.FreeResends}}
	shares := []figure{{"invariants.coldShare", in.ColdShare}, {"overShareWorth", w.OverShareWorth}}
	if in.ExtraShare != nil {
		atLeast0 = append(atLeast0, figure{"invariants.extraShare", *in.ExtraShare})
	}
	if in.BudgetSpanS != nil {
		atLeast0 = append(atLeast0, figure{"invariants.budgetSpanS", *in.BudgetSpanS})
	}
	for i, c := range w.RequestClasses {
		name := fmt.Sprintf("requestClasses[%d].", i)
		atLeast0 = append(atLeast0, figure{name + "promiseS", c.PromiseS}, figure{name + "giveUpS", c.GiveUpS},
			figure{name + "worth", c.Worth}, figure{name + "repeatWindowS", c.RepeatWindowS})
		shares = append(shares, figure{name + "lateWorth", c.LateWorth})
	}
	for i, c := range w.Tenants {
		shares = append(shares, figure{fmt.Sprintf("tenants[%d].portion", i), c.Portion})
		atLeast0 = append(atLeast0, figure{fmt.Sprintf("tenants[%d].quotaPerS", i), c.QuotaPerS})
	}
	for _, list := range []struct {
		name string
		of   []float64
	}{{"classNeed", sp.ClassNeed}, {"floorByClass", sp.FloorByClass}, {"shortWorth", sp.ShortWorth}} {
		if n := len(list.of); n > 0 && n != len(w.RequestClasses) {
			return invalid("settings: specifics.%s has %d figures, expected one for each of %d classes",
				list.name, n, len(w.RequestClasses))
		}
		for i, v := range list.of {
			shares = append(shares, figure{fmt.Sprintf("specifics.%s[%d]", list.name, i), v})
		}
	}
	for i, floor := range sp.FloorByClass {
		if need := at(sp.ClassNeed, i); need > 0 && floor > need && floor < 1 { // 1 is what a class without a floor has
			return invalid("settings: specifics.floorByClass[%d] is %g, expected at most classNeed, %g", i, floor, need)
		}
	}
	if n := len(sp.SecondStep); n > 0 && n != len(w.RequestClasses) {
		return invalid("settings: specifics.secondStep has %d figures, expected one for each of %d classes",
			n, len(w.RequestClasses))
	}
	for i, n := range sp.SecondStep {
		atLeast0 = append(atLeast0, figure{fmt.Sprintf("specifics.secondStep[%d]", i), float64(n)})
	}
	for _, f := range atLeast0 {
		if f.value < 0 {
			return invalid("settings: %s is %g, expected 0 or more", f.name, f.value)
		}
	}
	for _, f := range shares {
		if f.value < 0 || f.value > 1 {
			return invalid("settings: %s is %g, expected a share from 0 to 1", f.name, f.value)
		}
	}
	return nil
}
