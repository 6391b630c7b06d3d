package controlmodel

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Specifications whose tasks behave in a way of their own (taskProfile).
const (
	lastingSpecification = "lasting"
	gangSpecification    = "gang"

	gangSize         = 2
	gangTimeout      = 2 * time.Second
	repetitionPause  = 400 * time.Millisecond
	repetitionCount  = 4
	firstRepetition  = 200 * time.Millisecond // from the job's first submission
	lastingJobsShare = 4                      // one job in so many runs until it is cancelled
)

// identityJob is a job of a client: what is sent with each submission of it.
type identityJob struct {
	prefix, path string
	body         string
	lasting      bool
}

// newIdentityJob returns a job of a random kind.
func newIdentityJob(random *rand.Rand, prefix, path string) identityJob {
	created := identityJob{prefix: prefix, path: path}
	if random.IntN(lastingJobsShare) == 0 {
		created.lasting = true
		created.body = fmt.Sprintf(`{"specification":%q,"stages":[{"count":1,"processors":500,"longRunning":true}]}`, lastingSpecification)
		return created
	}
	switch random.IntN(4) {
	case 0:
		created.body = `{"specification":"t","stages":[{"count":2,"processors":500,"estimatedDurationMs":300}]}`
	case 1:
		created.body = `{"specification":"t","stages":[{"count":1,"processors":500,"estimatedDurationMs":300},{"count":2,"processors":500,"dependsOn":[0]}]}`
	case 2:
		created.body = fmt.Sprintf(`{"specification":%q,"stages":[{"count":%d,"processors":500,"estimatedDurationMs":300,"gangScheduled":true}]}`, gangSpecification, gangSize)
	default:
		created.body = fmt.Sprintf(`{"specification":"t","stages":[{"count":1,"processors":500,"estimatedDurationMs":300}],"repetitions":%d,"firstRunMs":%d,"intervalMs":%d}`,
			repetitionCount, time.Now().Add(firstRepetition).UnixMilli(), repetitionPause.Milliseconds())
	}
	return created
}
