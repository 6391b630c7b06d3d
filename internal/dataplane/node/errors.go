package node

import (
	"errors"
	"fmt"
)

var errNoConfig = errors.New("LB_CONFIG names no file")

// ConfigError reports an invalid configuration of an aggregator.
type ConfigError string

// Error returns the text, which names the field and the expected value.
func (e ConfigError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ConfigError(fmt.Sprintf(format, arguments...))
}
