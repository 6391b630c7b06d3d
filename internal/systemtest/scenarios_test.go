package systemtest

import (
	"os"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	maxConcurrentSystems = 3 // systems that run side by side
	allVariable          = "PUFFINLINK_SYSTEMTEST_ALL"
	seedVariable         = "PUFFINLINK_SYSTEMTEST_SEED"
	onlyVariable         = "PUFFINLINK_SYSTEMTEST_ONLY"
	pairCount            = 60
)

// selectedScenarios are the scenarios that the environment asks for.
func selectedScenarios() []scenario {
	scenarios := defaultScenarios
	if os.Getenv(allVariable) != "" {
		seed, _ := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
		scenarios = append(append(append([]scenario{}, defaultScenarios...), extendedScenarios...), append(everyInjection(), pairs(seed, pairCount)...)...)
	}
	only := os.Getenv(onlyVariable)
	if only == "" {
		return scenarios
	}
	var matching []scenario
	for _, sc := range scenarios {
		if sc.matches(only) {
			matching = append(matching, sc)
		}
	}
	return matching
}

func TestScenarios(t *testing.T) {
	scenarios := selectedScenarios()
	places := make(chan struct{}, maxConcurrentSystems)
	outcomes := make([]chan outcome, len(scenarios))
	for i, sc := range scenarios {
		outcomes[i] = make(chan outcome, 1)
		folder := scenarioFolder(t, sc.name)
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			outcomes[i] <- sc.run(folder)
		}()
	}
	for i, sc := range scenarios {
		result := <-outcomes[i]
		t.Logf("%s: %d jobs accepted, %v, %d violations, %d failures; seen %+v",
			sc.name, result.accepted, result.took, len(result.violations), len(result.failures), result.seen)
		Convey("No rule is broken: "+sc.name, t, func() {
			So(result.failures, ShouldBeEmpty)
			So(result.violations, ShouldBeEmpty)
			So(result.accepted, ShouldBeGreaterThan, 0)
		})
	}
}
