package workerclient

import (
	"encoding/json"
	"fmt"
	"strconv"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// The paths of a worker's calls.
const (
	startPath   = "/-/run-start"
	stopPath    = "/-/run-stop"
	renewalPath = "/-/hold"
)

// maxFinishedPerResponse is how many completions one response lists at most.
const maxFinishedPerResponse = 500

// reason is why a worker rejected a call with 409.
type reason string

const (
	reasonFencingToken reason = "fence"
	reasonStaleAttempt reason = "old"
	reasonLeaseExpired reason = "late"
	reasonCapacity     reason = "room"
)

// listRequest is the body of a call for both lists; it may renew the lease, and may wait for a completion.
type listRequest struct {
	fencingToken uint64
	lastSeen     uint64
	waitMS       int64
	validUntilMS int64 // 0 to grant nothing
}

// listRequestBytes is about how long the body of a call for the lists is.
const listRequestBytes = 128

func (r listRequest) append(to []byte) []byte {
	to = append(to, `{"fencingToken":`...)
	to = strconv.AppendUint(to, r.fencingToken, 10)
	to = append(to, `,"lastSeen":`...)
	to = strconv.AppendUint(to, r.lastSeen, 10)
	to = append(to, `,"waitMs":`...)
	to = strconv.AppendInt(to, r.waitMS, 10)
	if r.validUntilMS != 0 {
		to = append(to, `,"validUntilMs":`...)
		to = strconv.AppendInt(to, r.validUntilMS, 10)
	}
	return append(to, '}')
}

// appendStart writes the body of a start call.
func appendStart(to []byte, command *StartCommand, validUntilMS int64, fencingToken uint64) []byte {
	to = append(to, `{"task":"`...)
	to = appendTask(to, command.Task)
	to = append(to, `","execution":`...)
	to = strconv.AppendUint(to, command.AttemptNumber, 10)
	to = append(to, `,"specification":`...)
	to = appendText(to, command.Specification)
	to = append(to, `,"validUntilMs":`...)
	to = strconv.AppendInt(to, validUntilMS, 10)
	to = append(to, `,"fencingToken":`...)
	to = strconv.AppendUint(to, fencingToken, 10)
	if command.Checkpoint != "" {
		to = append(to, `,"checkpointed":`...)
		to = appendText(to, command.Checkpoint)
	}
	return append(to, '}')
}

// appendStop writes the body of a stop call.
func appendStop(to []byte, command StopCommand, fencingToken uint64) []byte {
	to = append(to, `{"task":"`...)
	to = appendTask(to, command.Task)
	to = append(to, `","execution":`...)
	to = strconv.AppendUint(to, command.AttemptNumber, 10)
	to = append(to, `,"fencingToken":`...)
	to = strconv.AppendUint(to, fencingToken, 10)
	return append(to, '}')
}

// appendTask writes a task's name; a valid one needs no escapes.
func appendTask(to []byte, task job.TaskID) []byte {
	to = append(to, task.Job...)
	to = strconv.AppendInt(append(to, '.'), int64(task.Repetition), 10)
	to = strconv.AppendInt(append(to, '.'), int64(task.Stage), 10)
	return strconv.AppendInt(append(to, '.'), int64(task.Index), 10)
}

const hexDigits = "0123456789abcdef"

// appendText writes a JSON string that stands for exactly this text.
func appendText(to []byte, text string) []byte {
	to = append(to, '"')
	plain := 0 // where the part that needs no escapes begins
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c >= ' ' && c != '"' && c != '\\' {
			continue
		}
		to = append(to, text[plain:i]...)
		plain = i + 1
		if c == '"' || c == '\\' {
			to = append(to, '\\', c)
			continue
		}
		to = append(to, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
	}
	to = append(to, text[plain:]...)
	return append(to, '"')
}

// responseBody is the body of any response. Lists and clock are left out where the worker rejected the call.
type responseBody struct {
	ClockMS  *int64          `json:"clockMs"`
	Reason   reason          `json:"reason"`
	Running  []runningEntry  `json:"running"`
	Finished []finishedEntry `json:"finished"`
}

func decodeResponse(body []byte) (responseBody, error) {
	var r responseBody
	if err := json.Unmarshal(body, &r); err != nil {
		return responseBody{}, fmt.Errorf("decode response: %w", err)
	}
	return r, nil
}
