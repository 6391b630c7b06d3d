package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
)

const (
	coreMachines   = 3
	frontMachines  = 2
	firstCoreHost  = 11 // last byte of the first core machine's address
	firstFrontHost = 21 // last byte of the first front machine's address
	loopbackHost   = "127.0.0.1"
)

// Port offsets from the first port.
const (
	peerOffset      = 1  // for connections between agents
	localOffset     = 2  // from the first front's proxy to its agent; the other fronts use the ports that follow
	lastOffset      = 9  // end of the internal port range
	controlOffset   = 10 // for operators' requests to the coordinators
	frontOffset     = 11 // for clients of the proxies
	readinessOffset = 12 // for readiness checks of the fronts
)

const (
	minPort       = 20000 // lowest first port
	portRange     = 12000 // number of possible first ports
	portAttempts  = 50    // attempts to find a range of free ports
	demoMemoryMB  = 4096
	fileMode      = 0o600
	directoryMode = 0o700
)

// layout contains the addresses of all machines, and writes their settings files.
type layout struct {
	directory string
	platform  string // address of the fake platform
	firstPort int    // port
}

// newLayout returns a layout with a random range of free ports.
func newLayout(directory, platform string) (*layout, error) {
	created := &layout{directory: directory, platform: platform}
	for range portAttempts {
		created.firstPort = minPort + rand.IntN(portRange)
		if created.portsAreFree() {
			return created, nil
		}
	}
	return nil, errNoPorts
}

func coreHost(number int) string  { return fmt.Sprintf("127.0.0.%d", firstCoreHost+number) }
func frontHost(number int) string { return fmt.Sprintf("127.0.0.%d", firstFrontHost+number) }

// address returns the address of a host at an offset from the first port.
func (l *layout) address(host string, offset int) string {
	return fmt.Sprintf("%s:%d", host, l.firstPort+offset)
}

// localAddress returns the address at which the proxy of a front reaches its agent. All emulated fronts share one loopback
// address, so each uses its own port.
func (l *layout) localAddress(number int) string { return l.address(loopbackHost, localOffset+number) }

// portsAreFree reports whether all ports are free to listen on.
func (l *layout) portsAreFree() bool {
	var addresses []string
	for number := range coreMachines {
		addresses = append(addresses, l.address(coreHost(number), 0), l.address(coreHost(number), controlOffset))
	}
	for number := range frontMachines {
		host := frontHost(number)
		addresses = append(addresses, l.address(host, peerOffset), l.address(host, frontOffset), l.address(host, readinessOffset), l.localAddress(number))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (l *layout) controlAddresses() []string {
	var addresses []string
	for number := range coreMachines {
		addresses = append(addresses, l.address(coreHost(number), controlOffset))
	}
	return addresses
}

func (l *layout) frontAddresses() []string {
	var addresses []string
	for number := range frontMachines {
		addresses = append(addresses, l.address(frontHost(number), frontOffset))
	}
	return addresses
}

func (l *layout) readinessAddresses() []string {
	var addresses []string
	for number := range frontMachines {
		addresses = append(addresses, l.address(frontHost(number), readinessOffset))
	}
	return addresses
}

// operatorFlags returns the flags with which operators' commands reach the demo.
func (l *layout) operatorFlags() string {
	return "--at " + strings.Join(l.controlAddresses(), " --at ")
}

// writeCoordinatorSettings writes the settings file of a coordinator and creates its data directory.
func (l *layout) writeCoordinatorSettings(number int, firstStart bool) (settingsFile string, err error) {
	data := filepath.Join(l.directory, fmt.Sprintf("core-%d", number))
	if err := os.MkdirAll(data, directoryMode); err != nil {
		return "", err
	}
	host := coreHost(number)
	return l.writeSettings(fmt.Sprintf("core-%d", number), "core", host, firstStart, "serves=control",
		"countsForQuorum=true", "dataDirectory="+data, "listenAddresses.control="+l.address(host, controlOffset))
}

// writeFrontSettings writes the settings file of a front machine's processes.
func (l *layout) writeFrontSettings(number int) (settingsFile string, err error) {
	host := frontHost(number)
	return l.writeSettings(fmt.Sprintf("front-%d", number), "front", host, true, "serves=front",
		"listenAddresses.front="+l.address(host, frontOffset), "listenAddresses.readiness="+l.address(host, readinessOffset))
}

// writeSettings writes a settings file with the lines common to all machines and the extra lines.
func (l *layout) writeSettings(name, class, host string, firstStart bool, extraLines ...string) (settingsFile string, err error) {
	lines := append([]string{
		"nodeName=" + name, "machineClass=" + class, "ipAddress=" + host, "zone=demo", "region=demo",
		fmt.Sprintf("internalPortRange=%d,%d", l.firstPort, l.firstPort+lastOffset),
		"seedNodes=" + strings.Join(l.controlAddresses(), ","), fmt.Sprintf("firstStart=%t", firstStart),
		fmt.Sprintf("limits.memoryMb=%d", demoMemoryMB), "limits.fileDescriptors=1000",
		"bounds.gracePeriodS=2", fmt.Sprintf("bounds.holdMaxMs=%d", maxLease.Milliseconds()), "cloudApi.address=" + l.platform, "cloudApi.ratePerS=30",
	}, extraLines...)
	path := filepath.Join(l.directory, name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), fileMode)
}
