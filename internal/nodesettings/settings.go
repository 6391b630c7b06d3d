// Package nodesettings reads the settings file of a process. The file states the identity of the node, its addresses, the
// limits of its machine and the time limits of the deployment, in key=value lines. The operators' documentation describes the
// keys. Load reads the file once, and Watch reports its changes. An invalid file is never applied.
package nodesettings

import (
	"net"
	"strconv"
	"time"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "PUFFINLINK_BOOT"

// Kinds of external callers that a role may serve.
const (
	ServesFront   = "front"
	ServesControl = "control"
)

// Settings holds the known keys of the settings file. The property tag is the key. The unit tag is the unit of a duration that
// is stated as a number. The default tag is the value for a key that is absent or empty.
type Settings struct {
	Cluster         string   `property:"puffinlink.cluster" default:"puffinlink"` // calls from other clusters are rejected
	NodeName        string   `property:"nodeName" validate:"required"`
	Role            string   `property:"role"`
	MachineClass    string   `property:"machineClass"`
	Serves          []string `property:"serves"`
	IPAddress       string   `property:"ipAddress" validate:"required,ipv4"`
	Zone            string   `property:"zone"`
	Region          string   `property:"region"`
	Listen          Listen
	InternalPorts   PortRange `property:"internalPortRange" validate:"required"`
	SeedNodes       []string  `property:"seedNodes" validate:"dive,hostname_port"` // control addresses
	FirstStart      bool      `property:"firstStart"`
	CountsForQuorum bool      `property:"countsForQuorum"`
	DataDirectory   string    `property:"dataDirectory"` // empty on a machine without a disk
	Limits          Limits
	Discovery       string        `property:"discovery"`
	Entry           string        `property:"entry"`
	Heartbeat       time.Duration `property:"heartbeatIntervalMs" unit:"ms" default:"1500" validate:"gt=0"`
	Contracts       []string      `property:"contracts"`
	FaultTolerance  FaultTolerance
	Bounds          Bounds
	Commands        string `property:"commands" default:"invocation"`
	CloudAPI        CloudAPI

	// Zones maps each zone to its region, from the keys zones.NAME.
	Zones map[string]string
}

// Listen holds the addresses, host:port, at which the role serves external callers. An address is empty if the role does not
// serve that kind of caller.
type Listen struct {
	Front     string `property:"listenAddresses.front" validate:"omitempty,hostname_port"`
	Readiness string `property:"listenAddresses.readiness" validate:"omitempty,hostname_port"`
	Control   string `property:"listenAddresses.control" validate:"omitempty,hostname_port"`
}

// Limits are the resources of the machine and of the process.
type Limits struct {
	ProcessorShare    float64 `property:"limits.processorShare" default:"1" validate:"gt=0"` // of one core
	Cores             float64 `property:"limits.cores" default:"1" validate:"gt=0"`
	MemoryMB          int64   `property:"limits.memoryMb" default:"256" validate:"gt=0"`
	FileDescriptors   int     `property:"limits.fileDescriptors" default:"1024" validate:"gt=0"`
	LinkBandwidthMbps float64 `property:"limits.linkBandwidthMbps" validate:"gte=0"`
	DiskMB            int64   `property:"limits.diskMb" validate:"gte=0"`
}

// FaultTolerance holds the numbers of machines, zones and regions that may fail at the same time.
type FaultTolerance struct {
	Machines int `property:"faultTolerance.machines" validate:"gte=0"`
	Zones    int `property:"faultTolerance.zones" validate:"gte=0"`
	Regions  int `property:"faultTolerance.regions" validate:"gte=0"`
}

// Bounds holds the time limits and factors that the deployment guarantees or requires.
type Bounds struct {
	SeedLag              time.Duration `property:"bounds.seedLagS" unit:"s" default:"3" validate:"gte=0"`
	AddressReuse         time.Duration `property:"bounds.addressReuseS" unit:"s" default:"2" validate:"gte=0"`
	Contact              time.Duration `property:"bounds.contactMs" unit:"ms" default:"3000" validate:"gte=0"`
	Acknowledge          time.Duration `property:"bounds.acknowledgeMs" unit:"ms" default:"4000" validate:"gte=0"`
	CatchUp              time.Duration `property:"bounds.catchUpS" unit:"s" default:"4" validate:"gte=0"`
	DrainDuration        time.Duration `property:"bounds.drainMs" unit:"ms" default:"3000" validate:"gte=0"`
	GracePeriod          time.Duration `property:"bounds.gracePeriodS" unit:"s" default:"6" validate:"gt=0"`
	LossSlack            time.Duration `property:"bounds.lossSlackMs" unit:"ms" default:"200" validate:"gte=0"`
	ConfigurationApply   time.Duration `property:"bounds.configurationApplyMs" unit:"ms" default:"2000" validate:"gte=0"`
	RollbackSlack        time.Duration `property:"bounds.rollbackSlackMs" unit:"ms" default:"250" validate:"gte=0"`
	Outer                time.Duration `property:"bounds.outerBoundMs" unit:"ms" default:"5000" validate:"gte=0"`
	Recovery             time.Duration `property:"bounds.recoveryS" unit:"s" default:"12" validate:"gte=0"`
	MaxLease             time.Duration `property:"bounds.holdMaxMs" unit:"ms" default:"6000" validate:"gt=0"`
	MaxStopDuration      time.Duration `property:"bounds.stop_ms" unit:"ms" default:"400" validate:"gte=0"`
	Gang                 time.Duration `property:"bounds.gang_ms" unit:"ms" default:"3000" validate:"gte=0"`
	Cancel               time.Duration `property:"bounds.cancel_ms" unit:"ms" default:"3000" validate:"gte=0"`
	Visible              time.Duration `property:"bounds.visible_ms" unit:"ms" default:"3000" validate:"gte=0"`
	Early                time.Duration `property:"bounds.early_ms" unit:"ms" default:"250" validate:"gte=0"`
	Finish               time.Duration `property:"bounds.finish_s" unit:"s" default:"14" validate:"gte=0"`
	StatusRetention      time.Duration `property:"bounds.status_s" unit:"s" default:"120" validate:"gte=0"`
	RemoteSlowdownFactor float64       `property:"bounds.far_x" default:"1.5" validate:"gte=1"`
	Save                 time.Duration `property:"bounds.save_s" unit:"s" default:"2" validate:"gte=0"`
	RestoreDuration      time.Duration `property:"bounds.restore_ms" unit:"ms" default:"250" validate:"gte=0"`
}

// CloudAPI configures the access to the platform's list of workers.
type CloudAPI struct {
	Address       string        `property:"cloudApi.address" validate:"omitempty,hostname_port"`
	RatePerSecond float64       `property:"cloudApi.ratePerS" default:"10" validate:"gt=0"` // calls per second of all nodes together
	Duties        []string      `property:"cloudApi.duties"`
	MaxLag        time.Duration `property:"cloudApi.maxLagMs" unit:"ms" default:"1000" validate:"gte=0"`
}

// ServesTo reports whether the role serves a kind of external caller.
func (s *Settings) ServesTo(kind string) bool {
	for _, served := range s.Serves {
		if served == kind {
			return true
		}
	}
	return false
}

// InternalAddress returns this machine's address, host:port, at an offset from the first internal port.
func (s *Settings) InternalAddress(offset int) string {
	return net.JoinHostPort(s.IPAddress, strconv.Itoa(s.InternalPorts.First+offset))
}

// LoopbackAddress returns the loopback address, host:port, at an offset from the first internal port.
func (s *Settings) LoopbackAddress(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(s.InternalPorts.First+offset))
}

// SeedInternalAddresses returns the seed nodes' addresses, host:port, at the first internal port. The internal ports are the
// same on all machines.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.SeedNodes))
	for _, seed := range s.SeedNodes {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Parse rejects such an address
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.InternalPorts.First)))
	}
	return addresses
}
