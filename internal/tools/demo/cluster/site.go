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
	coreMachines  = 3
	frontMachines = 2
	firstCoreHost = 11 // last part of the first core machine's address
	firstFront    = 21
	loopbackHost  = "127.0.0.1"
)

// Offsets from the first port.
const (
	peerOffset      = 1 // of agents
	localOffset     = 2 // of the first front's agent for its proxy; the other fronts' follow
	lastOffset      = 9
	controlOffset   = 10
	frontOffset     = 11
	readinessOffset = 12
)

const (
	leastPort     = 20000
	portChoices   = 12000
	portAttempts  = 50
	demoMemoryMB  = 4096
	fileMode      = 0o600
	directoryMode = 0o700
)

// site holds the addresses and settings of all machines.
type site struct {
	directory string
	platform  string
	first     int // port
}

func newSite(directory, platform string) (*site, error) {
	s := &site{directory: directory, platform: platform}
	for range portAttempts {
		s.first = leastPort + rand.IntN(portChoices)
		if s.free() {
			return s, nil
		}
	}
	return nil, errNoPorts
}

func coreHost(number int) string  { return fmt.Sprintf("127.0.0.%d", firstCoreHost+number) }
func frontHost(number int) string { return fmt.Sprintf("127.0.0.%d", firstFront+number) }

func (s *site) at(host string, offset int) string { return fmt.Sprintf("%s:%d", host, s.first+offset) }

// localAddress is where the proxy and the agent of one front meet. All fronts share one loopback address here, so each
// has a port of its own.
func (s *site) localAddress(number int) string { return s.at(loopbackHost, localOffset+number) }

// free tells whether all ports can be listened on.
func (s *site) free() bool {
	var addresses []string
	for number := range coreMachines {
		addresses = append(addresses, s.at(coreHost(number), 0), s.at(coreHost(number), controlOffset))
	}
	for number := range frontMachines {
		host := frontHost(number)
		addresses = append(addresses, s.at(host, peerOffset), s.at(host, frontOffset), s.at(host, readinessOffset), s.localAddress(number))
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

func (s *site) controlAddresses() []string {
	var addresses []string
	for number := range coreMachines {
		addresses = append(addresses, s.at(coreHost(number), controlOffset))
	}
	return addresses
}

func (s *site) frontAddresses() []string {
	var addresses []string
	for number := range frontMachines {
		addresses = append(addresses, s.at(frontHost(number), frontOffset))
	}
	return addresses
}

func (s *site) readinessAddresses() []string {
	var addresses []string
	for number := range frontMachines {
		addresses = append(addresses, s.at(frontHost(number), readinessOffset))
	}
	return addresses
}

// operatorFlags are the flags by which operators' commands reach the demo.
func (s *site) operatorFlags() string {
	return "--at " + strings.Join(s.controlAddresses(), " --at ")
}

// writeCore writes the settings file of a coordinator, and makes its disk's directory.
func (s *site) writeCore(number int, firstStart bool) (settingsFile string, err error) {
	data := filepath.Join(s.directory, fmt.Sprintf("core-%d", number))
	if err := os.MkdirAll(data, directoryMode); err != nil {
		return "", err
	}
	host := coreHost(number)
	return s.write(fmt.Sprintf("core-%d", number), "core", host, firstStart, "serves=control",
		"countsForQuorum=true", "dataDirectory="+data, "listenAddresses.control="+s.at(host, controlOffset))
}

// writeFront writes the settings file of a front machine's processes.
func (s *site) writeFront(number int) (settingsFile string, err error) {
	host := frontHost(number)
	return s.write(fmt.Sprintf("front-%d", number), "front", host, true, "serves=front",
		"listenAddresses.front="+s.at(host, frontOffset), "listenAddresses.readiness="+s.at(host, readinessOffset))
}

func (s *site) write(name, class, host string, firstStart bool, more ...string) (settingsFile string, err error) {
	lines := append([]string{
		"nodeName=" + name, "machineClass=" + class, "ipAddress=" + host, "zone=demo", "region=demo",
		fmt.Sprintf("internalPortRange=%d,%d", s.first, s.first+lastOffset),
		"seedNodes=" + strings.Join(s.controlAddresses(), ","), fmt.Sprintf("firstStart=%t", firstStart),
		fmt.Sprintf("limits.memoryMb=%d", demoMemoryMB), "limits.fileDescriptors=1000",
		"bounds.gracePeriodS=2", fmt.Sprintf("bounds.holdMaxMs=%d", leaseMax.Milliseconds()), "cloudApi.address=" + s.platform, "cloudApi.ratePerS=30",
	}, more...)
	path := filepath.Join(s.directory, name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), fileMode)
}
