package nodesettings

import (
	"strconv"
	"strings"
)

// highestPort is the highest TCP port.
const highestPort = 65535

// minimumPorts is the number of internal ports that the processes of one machine use.
const minimumPorts = 3

// PortRange is the range of ports for the internal protocol, including both ends.
type PortRange struct {
	First, Last int
}

// UnmarshalText parses a range of the form FIRST,LAST.
func (r *PortRange) UnmarshalText(text []byte) error {
	firstText, lastText, found := strings.Cut(string(text), ",")
	if !found {
		return expectation("want two ports, as in 7660,7675")
	}
	first, err := parsePort(firstText)
	if err != nil {
		return err
	}
	last, err := parsePort(lastText)
	if err != nil {
		return err
	}
	if last-first+1 < minimumPorts {
		return expectation("%d to %d are fewer than %d ports", first, last, minimumPorts)
	}
	*r = PortRange{First: first, Last: last}
	return nil
}

func parsePort(text string) (int, error) {
	port, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || port < 1 || port > highestPort {
		return 0, expectation("%q is not a port, want 1 to %d", text, highestPort)
	}
	return port, nil
}
