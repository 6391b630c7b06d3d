package settings

import "fmt"

// figure is a number of the settings object, named by its key.
type figure struct {
	name  string
	value float64
}

// check validates the numbers of a settings object. The first one that is wrong makes the error.
func check(raw *wire) error {
	if err := checkLists(raw); err != nil {
		return err
	}
	for _, f := range nonNegative(raw) {
		if f.value < 0 {
			return invalid("settings: %s is %g, expected 0 or more", f.name, f.value)
		}
	}
	for _, f := range shares(raw) {
		if f.value < 0 || f.value > 1 {
			return invalid("settings: %s is %g, expected a share from 0 to 1", f.name, f.value)
		}
	}
	return nil
}

// checkLists validates the lists that have an element for each class: their lengths, and that no class has a floor above what
// completes its answers.
func checkLists(raw *wire) error {
	layout, classes := &raw.Specifics, len(raw.RequestClasses)
	for _, list := range classLists(raw) {
		if n := len(list.values); n > 0 && n != classes {
			return invalid("settings: specifics.%s has %d figures, expected one for each of %d classes", list.name, n, classes)
		}
	}
	for i, floor := range layout.FloorByClass {
		if need := valueAt(layout.ClassNeed, i); need > 0 && floor > need && floor < 1 { // 1 is what a class without a floor has
			return invalid("settings: specifics.floorByClass[%d] is %g, expected at most classNeed, %g", i, floor, need)
		}
	}
	if n := len(layout.SecondStep); n > 0 && n != classes {
		return invalid("settings: specifics.secondStep has %d figures, expected one for each of %d classes", n, classes)
	}
	return nil
}

// classList is a list of shares, one for each class.
type classList struct {
	name   string
	values []float64
}

func classLists(raw *wire) []classList {
	layout := &raw.Specifics
	return []classList{{"classNeed", layout.ClassNeed}, {"floorByClass", layout.FloorByClass}, {"shortWorth", layout.ShortWorth}}
}

// nonNegative lists the figures that must not be negative.
func nonNegative(raw *wire) []figure {
	layout, rules, limits := &raw.Specifics, &raw.Invariants, &raw.Limits
	list := []figure{{"granularityS", raw.GranularityS}, {"siblings", float64(raw.Siblings)},
		{"specifics.places", float64(layout.Places)}, {"specifics.width", float64(layout.Width)},
		{"specifics.perCall", float64(layout.PerCall)}, {"specifics.callCostS", layout.CallCostS},
		{"limits.mostTries", float64(limits.MostTries)}, {"limits.mostHeld", float64(limits.MostHeld)},
		{"specifics.slices", float64(layout.Slices)}, {"limits.multiplex", float64(limits.Multiplex)},
		{"limits.idleCloseS", limits.IdleCloseS}, {"limits.maxRetryAfterS", limits.MaxRetryAfterS}, {"limits.connectTimeoutS", limits.ConnectTimeoutS},
		{"invariants.answerSlackS", rules.AnswerSlackS}, {"invariants.askEveryS", rules.AskEveryS},
		{"invariants.coldS", rules.ColdS}, {"invariants.drainGraceS", rules.DrainGraceS},
		{"invariants.fallMultiple", rules.FallMultiple}, {"invariants.fallS", rules.FallS},
		{"invariants.freeResends", rules.FreeResends}}
	if rules.ExtraShare != nil {
		list = append(list, figure{"invariants.extraShare", *rules.ExtraShare})
	}
	if rules.BudgetSpanS != nil {
		list = append(list, figure{"invariants.budgetSpanS", *rules.BudgetSpanS})
	}
	for i, c := range raw.RequestClasses {
		name := fmt.Sprintf("requestClasses[%d].", i)
		list = append(list, figure{name + "promiseS", c.PromiseS}, figure{name + "giveUpS", c.GiveUpS},
			figure{name + "worth", c.Worth}, figure{name + "repeatWindowS", c.RepeatWindowS})
	}
	for i, c := range raw.Tenants {
		list = append(list, figure{fmt.Sprintf("tenants[%d].quotaPerS", i), c.QuotaPerS})
	}
	for i, n := range layout.SecondStep {
		list = append(list, figure{fmt.Sprintf("specifics.secondStep[%d]", i), float64(n)})
	}
	return list
}

// shares lists the figures that must be from 0 to 1.
func shares(raw *wire) []figure {
	list := []figure{{"invariants.coldShare", raw.Invariants.ColdShare}, {"overShareWorth", raw.OverShareWorth}}
	for i, c := range raw.RequestClasses {
		list = append(list, figure{fmt.Sprintf("requestClasses[%d].lateWorth", i), c.LateWorth})
	}
	for i, c := range raw.Tenants {
		list = append(list, figure{fmt.Sprintf("tenants[%d].portion", i), c.Portion})
	}
	for _, l := range classLists(raw) {
		for i, v := range l.values {
			list = append(list, figure{fmt.Sprintf("specifics.%s[%d]", l.name, i), v})
		}
	}
	return list
}
