package nodesettings

import (
	"strconv"
	"strings"
)

const highestPort = 65535

// minimumPorts is how many internal ports the processes of one machine use.
const minimumPorts = 3

// PortRange is the range of ports for the internal protocol, both ends included.
type PortRange struct {
	First, Last int
}

// UnmarshalText reads FIRST,LAST.
func (r *PortRange) UnmarshalText(text []byte) error {
	firstText, lastText, found := strings.Cut(string(text), ",")
	if !found {
		return want("want two ports, as in 7660,7675")
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
		return want("%d to %d are fewer than %d ports", first, last, minimumPorts)
	}
	*r = PortRange{First: first, Last: last}
	return nil
}

func parsePort(text string) (int, error) {
	port, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || port < 1 || port > highestPort {
		return 0, want("%q is not a port, want 1 to %d", text, highestPort)
	}
	return port, nil
}
