package settings

import "fmt"

// number is a number of the settings object and its key.
type number struct {
	name  string
	value float64
}

// validate checks the numbers of a settings object, and returns an error for the first invalid one.
func validate(raw *wire) error {
	if err := validateLists(raw); err != nil {
		return err
	}
	for _, f := range nonNegativeNumbers(raw) {
		if f.value < 0 {
			return invalid("settings: %s is %g, expected 0 or more", f.name, f.value)
		}
	}
	for _, f := range shareNumbers(raw) {
		if f.value < 0 || f.value > 1 {
			return invalid("settings: %s is %g, expected a share from 0 to 1", f.name, f.value)
		}
	}
	return nil
}

// validateLists checks the lists that have an element for each index: their lengths, and that the minimum share of an index is
// not above its required share.
func validateLists(raw *wire) error {
	layout, indexes := &raw.Layout, len(raw.Indexes)
	for _, list := range shareLists(raw) {
		if n := len(list.values); n > 0 && n != indexes {
			return invalid("settings: specifics.%s has %d figures, expected one for each of %d classes", list.name, n, indexes)
		}
	}
	for i, minimum := range layout.MinimumShares {
		if required := valueAt(layout.RequiredShares, i); required > 0 && minimum > required && minimum < 1 { // a minimum of 1 means that the index has none
			return invalid("settings: specifics.floorByClass[%d] is %g, expected at most classNeed, %g", i, minimum, required)
		}
	}
	if n := len(layout.SecondSteps); n > 0 && n != indexes {
		return invalid("settings: specifics.secondStep has %d figures, expected one for each of %d classes", n, indexes)
	}
	return nil
}

// indexShares is a list of shares, one for each index, and its key.
type indexShares struct {
	name   string
	values []float64
}

// shareLists returns the lists of shares.
func shareLists(raw *wire) []indexShares {
	layout := &raw.Layout
	return []indexShares{{"classNeed", layout.RequiredShares}, {"floorByClass", layout.MinimumShares}, {"shortWorth", layout.PartialValues}}
}

// nonNegativeNumbers returns the numbers that must not be negative.
func nonNegativeNumbers(raw *wire) []number {
	layout, rules, limits := &raw.Layout, &raw.Rules, &raw.Limits
	list := []number{{"granularityS", raw.StepIntervalS}, {"siblings", float64(raw.AggregatorCount)},
		{"specifics.places", float64(layout.Cells)}, {"specifics.width", float64(layout.Width)},
		{"specifics.perCall", float64(layout.SubqueriesPerCall)}, {"specifics.callCostS", layout.CallCostS},
		{"limits.mostTries", float64(limits.MaxAttempts)}, {"limits.mostHeld", float64(limits.MaxPending)},
		{"specifics.slices", float64(layout.Shards)}, {"limits.multiplex", float64(limits.CallsPerConnection)},
		{"limits.idleCloseS", limits.IdleTimeoutS}, {"limits.maxRetryAfterS", limits.MaxRetryAfterS}, {"limits.connectTimeoutS", limits.ConnectTimeoutS},
		{"invariants.answerSlackS", rules.AnswerSlackS}, {"invariants.askEveryS", rules.ListPollIntervalS},
		{"invariants.coldS", rules.SlowStartS}, {"invariants.drainGraceS", rules.DrainGraceS},
		{"invariants.fallMultiple", rules.OverloadMultiple}, {"invariants.fallS", rules.OverloadWindowS},
		{"invariants.freeResends", rules.RetryBudgetMin}}
	if rules.RetryBudgetRatio != nil {
		list = append(list, number{"invariants.extraShare", *rules.RetryBudgetRatio})
	}
	if rules.RetryBudgetWindowS != nil {
		list = append(list, number{"invariants.budgetSpanS", *rules.RetryBudgetWindowS})
	}
	for i, c := range raw.Indexes {
		name := fmt.Sprintf("requestClasses[%d].", i)
		list = append(list, number{name + "promiseS", c.SoftDeadlineS}, number{name + "giveUpS", c.HardDeadlineS},
			number{name + "worth", c.Value}, number{name + "repeatWindowS", c.DedupWindowS})
	}
	for i, c := range raw.Customers {
		list = append(list, number{fmt.Sprintf("tenants[%d].quotaPerS", i), c.QuotaPerSecond})
	}
	for i, n := range layout.SecondSteps {
		list = append(list, number{fmt.Sprintf("specifics.secondStep[%d]", i), float64(n)})
	}
	return list
}

// shareNumbers returns the numbers that must be from 0 to 1.
func shareNumbers(raw *wire) []number {
	list := []number{{"invariants.coldShare", raw.Rules.SlowStartShare}, {"overShareWorth", raw.OverQuotaValue}}
	for i, c := range raw.Indexes {
		list = append(list, number{fmt.Sprintf("requestClasses[%d].lateWorth", i), c.LateValue})
	}
	for i, c := range raw.Customers {
		list = append(list, number{fmt.Sprintf("tenants[%d].portion", i), c.Share})
	}
	for _, l := range shareLists(raw) {
		for i, v := range l.values {
			list = append(list, number{fmt.Sprintf("specifics.%s[%d]", l.name, i), v})
		}
	}
	return list
}
