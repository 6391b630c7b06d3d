package systemtest

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// ordinary are the scenarios of each run.
var ordinary = []scenario{
	{name: "calm", seed: 1},
}

func TestScenarios(t *testing.T) {
	outcomes := make([]chan outcome, len(ordinary))
	for i, sc := range ordinary {
		outcomes[i] = make(chan outcome, 1)
		folder := scenarioFolder(t, sc.name)
		go func() { outcomes[i] <- sc.run(folder) }()
	}
	for i, sc := range ordinary {
		result := <-outcomes[i]
		Convey("No rule is broken: "+sc.name, t, func() {
			So(result.failures, ShouldBeEmpty)
			So(result.violations, ShouldBeEmpty)
			So(result.accepted, ShouldBeGreaterThan, 0)
		})
	}
}
