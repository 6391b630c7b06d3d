package cluster

import (
	"errors"
	"fmt"
)

var (
	errInterrupted = errors.New("interrupted")
	errNoPorts     = errors.New("no free range of ports on the loopback addresses")
)

// noLeaderError names a service that has no leader.
type noLeaderError string

func (e noLeaderError) Error() string { return fmt.Sprintf("service %s has no leader", string(e)) }

// OptionsError says which option is wrong, and what was expected.
type OptionsError string

// Error implements error.
func (e OptionsError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return OptionsError(fmt.Sprintf(format, arguments...))
}
