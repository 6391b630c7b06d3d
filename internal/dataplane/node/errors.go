package node

import (
	"errors"
	"fmt"
)

var errNoConfig = errors.New("LB_CONFIG names no file")

// ConfigError says what is wrong with an aggregator's config, and what was expected.
type ConfigError string

// Error is the text, with the field and what was expected.
func (e ConfigError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ConfigError(fmt.Sprintf(format, arguments...))
}
