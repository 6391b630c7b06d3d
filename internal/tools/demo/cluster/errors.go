package cluster

import (
	"errors"
	"fmt"
)

var (
	errInterrupted = errors.New("interrupted")
	errNoPorts     = errors.New("no free range of ports on the loopback addresses")
)

// noLeaderError reports that no coordinator leads the jobs of a service. Its value is the service's name.
type noLeaderError string

func (e noLeaderError) Error() string { return fmt.Sprintf("service %s has no leader", string(e)) }

// OptionsError describes an invalid option and the expected values.
type OptionsError string

// Error implements error.
func (e OptionsError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return OptionsError(fmt.Sprintf(format, arguments...))
}
