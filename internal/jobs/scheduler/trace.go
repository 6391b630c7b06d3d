package scheduler

import (
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// EndedJob tells whether an entry records the end of a job, and which.
func EndedJob(entry *replication.Entry) (id job.ID, state job.State, ended bool) {
	text, found := strings.CutPrefix(entry.Key, endedPrefix)
	if !found || entry.Value == nil {
		return "", "", false
	}
	var record endedRecord
	if err := decodeRecord(entry.Key, entry.Value, &record); err != nil {
		return "", "", false
	}
	return job.ID(text), record.State, true
}
