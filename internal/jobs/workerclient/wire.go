package workerclient

import (
	"encoding/json"
	"fmt"
	"strconv"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// The HTTP paths of the worker's API.
const (
	startPath   = "/-/run-start"
	stopPath    = "/-/run-stop"
	renewalPath = "/-/hold"
)

// maxFinishedPerResponse is the maximum number of completions in one response.
const maxFinishedPerResponse = 500

// reason is the reason for which a worker rejected a call with status 409.
type reason string

const (
	reasonFencingToken reason = "fence"
	reasonStaleAttempt reason = "old"
	reasonLeaseExpired reason = "late"
	reasonCapacity     reason = "room"
)

// listRequest is the body of a list call. The call may renew the lease and may wait for a completion.
type listRequest struct {
	fencingToken uint64
	lastSeen     uint64
	waitMS       int64
	validUntilMS int64 // 0 to grant no lease
}

// estimatedListRequestBytes is the approximate size of the body of a list call.
const estimatedListRequestBytes = 128

func (r listRequest) append(dst []byte) []byte {
	dst = append(dst, `{"fencingToken":`...)
	dst = strconv.AppendUint(dst, r.fencingToken, 10)
	dst = append(dst, `,"lastSeen":`...)
	dst = strconv.AppendUint(dst, r.lastSeen, 10)
	dst = append(dst, `,"waitMs":`...)
	dst = strconv.AppendInt(dst, r.waitMS, 10)
	if r.validUntilMS != 0 {
		dst = append(dst, `,"validUntilMs":`...)
		dst = strconv.AppendInt(dst, r.validUntilMS, 10)
	}
	return append(dst, '}')
}

// appendStart appends the body of a start call.
func appendStart(dst []byte, command *StartCommand, validUntilMS int64, fencingToken uint64) []byte {
	dst = append(dst, `{"task":"`...)
	dst = appendTaskID(dst, command.Task)
	dst = append(dst, `","execution":`...)
	dst = strconv.AppendUint(dst, command.AttemptNumber, 10)
	dst = append(dst, `,"specification":`...)
	dst = appendString(dst, command.Specification)
	dst = append(dst, `,"validUntilMs":`...)
	dst = strconv.AppendInt(dst, validUntilMS, 10)
	dst = append(dst, `,"fencingToken":`...)
	dst = strconv.AppendUint(dst, fencingToken, 10)
	if command.Checkpoint != "" {
		dst = append(dst, `,"checkpointed":`...)
		dst = appendString(dst, command.Checkpoint)
	}
	return append(dst, '}')
}

// appendStop appends the body of a stop call.
func appendStop(dst []byte, command StopCommand, fencingToken uint64) []byte {
	dst = append(dst, `{"task":"`...)
	dst = appendTaskID(dst, command.Task)
	dst = append(dst, `","execution":`...)
	dst = strconv.AppendUint(dst, command.AttemptNumber, 10)
	dst = append(dst, `,"fencingToken":`...)
	dst = strconv.AppendUint(dst, fencingToken, 10)
	return append(dst, '}')
}

// appendTaskID appends a task ID. A valid ID needs no escaping.
func appendTaskID(dst []byte, task job.TaskID) []byte {
	dst = append(dst, task.Job...)
	dst = strconv.AppendInt(append(dst, '.'), int64(task.Repetition), 10)
	dst = strconv.AppendInt(append(dst, '.'), int64(task.Stage), 10)
	return strconv.AppendInt(append(dst, '.'), int64(task.Index), 10)
}

const hexDigits = "0123456789abcdef"

// appendString appends the text as a JSON string.
func appendString(dst []byte, text string) []byte {
	dst = append(dst, '"')
	unescapedStart := 0 // start of the current run of bytes that need no escaping
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c >= ' ' && c != '"' && c != '\\' {
			continue
		}
		dst = append(dst, text[unescapedStart:i]...)
		unescapedStart = i + 1
		if c == '"' || c == '\\' {
			dst = append(dst, '\\', c)
			continue
		}
		dst = append(dst, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
	}
	dst = append(dst, text[unescapedStart:]...)
	return append(dst, '"')
}

// responseBody is the body of any response. The lists and the clock are missing if the worker rejected the call.
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
