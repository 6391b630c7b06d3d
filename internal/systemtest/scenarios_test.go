package systemtest

import (
	"os"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	maxConcurrentSystems = 3 // systems that run concurrently
	allVariable          = "PUFFINLINK_SYSTEMTEST_ALL"
	seedVariable         = "PUFFINLINK_SYSTEMTEST_SEED"
	onlyVariable         = "PUFFINLINK_SYSTEMTEST_ONLY"
	randomPairCount      = 60
)

// selectedScenarios returns the scenarios that the environment variables select.
func selectedScenarios() []scenario {
	scenarios := defaultScenarios
	if os.Getenv(allVariable) != "" {
		seed, _ := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
		scenarios = append(append(append([]scenario{}, defaultScenarios...), extendedScenarios...), append(singleInjectionScenarios(), randomPairScenarios(seed, randomPairCount)...)...)
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

// runScenarios runs scenarios, at most maxConcurrent of them at a time, and checks each outcome. The Convey text of each
// consists of the claim and the scenario's name.
func runScenarios(t *testing.T, scenarios []scenario, maxConcurrent int, claim string) {
	t.Helper()
	slots := make(chan struct{}, maxConcurrent)
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
			sc.name, result.accepted, result.duration, len(result.violations), len(result.failures), result.summary)
		Convey(claim+sc.name, t, func() {
			So(result.failures, ShouldBeEmpty)
			So(result.violations, ShouldBeEmpty)
			So(result.accepted, ShouldBeGreaterThan, 0)
		})
	}
}
