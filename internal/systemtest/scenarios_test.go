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

// selectedScenarios are the scenarios that the environment variables select.
func selectedScenarios() []scenario {
	scenarios := defaultScenarios
	if os.Getenv(allVariable) != "" {
		seed, _ := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
		scenarios = append(append(append([]scenario{}, defaultScenarios...), extendedScenarios...), append(everyInjection(), randomPairs(seed, pairCount)...)...)
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
	runScenarios(t, selectedScenarios(), maxConcurrentSystems, "No rule is broken: ")
}

// runScenarios runs scenarios, some of them concurrently, and checks each outcome under a Convey text that begins with the claim.
func runScenarios(t *testing.T, scenarios []scenario, concurrent int, claim string) {
	t.Helper()
	slots := make(chan struct{}, concurrent)
	outcomes := make([]chan outcome, len(scenarios))
	for i, sc := range scenarios {
		outcomes[i] = make(chan outcome, 1)
		folder := scenarioFolder(t, sc.name)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes[i] <- sc.run(folder)
		}()
	}
	for i, sc := range scenarios {
		result := <-outcomes[i]
		t.Logf("%s: %d jobs accepted, %v, %d violations, %d failures; seen %+v",
			sc.name, result.accepted, result.took, len(result.violations), len(result.failures), result.seen)
		Convey(claim+sc.name, t, func() {
			So(result.failures, ShouldBeEmpty)
			So(result.violations, ShouldBeEmpty)
			So(result.accepted, ShouldBeGreaterThan, 0)
		})
	}
}
