package configuration

import (
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
)

// Problem is one defect of a configuration.
type Problem struct {
	Key    string // path of the offending key, such as routes[2].timeoutMs
	Remedy string // what is wrong and how to fix it
}

// InvalidError lists the problems of an invalid configuration.
type InvalidError struct{ Problems []Problem }

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.Key+": "+problem.Remedy)
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

func newInvalidError(key, format string, arguments ...any) *InvalidError {
	return &InvalidError{Problems: []Problem{{Key: key, Remedy: fmt.Sprintf(format, arguments...)}}}
}

// Parse decodes and validates a configuration. It rejects bodies above MaxBodyBytes, text that is not one complete JSON object,
// values of the wrong type, repeated keys, and everything that Validate rejects. The error is an *InvalidError.
func Parse(body []byte) (*Configuration, error) {
	if len(body) > MaxBodyBytes {
		return nil, newInvalidError("body", "is %d bytes long; send at most %d", len(body), MaxBodyBytes)
	}
	var parsed Configuration
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, newInvalidError("body", "cannot be read (%v); send one whole JSON object", err)
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	return &parsed, nil
}
