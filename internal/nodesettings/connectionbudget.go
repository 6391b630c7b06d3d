package nodesettings

// File descriptors of a process that are not for connections.
const (
	reservedForFiles   = 200 // which the platform uses for files outside of the data directory
	reservedForProcess = 16  // files in the data directory, listeners and the log
)

// Shares of a coordinator's connections, in percent. They add up to 100: a user that stays within its share never takes a
// connection of another.
const (
	workersPercent   = 70 // to workers
	nodesPercent     = 22 // from other nodes: core peers, agents, proxies
	operatorsPercent = 3
	outboundPercent  = 5 // to other nodes and the platform
	allPercent       = 100

	corePeersPercentOfNodes = 25 // of the nodes' share, which agents and proxies never fill
	minConnections          = 4  // of each share
)

// Rates of new connections to workers and of polls of idle workers, for a whole processor core. A new connection takes about
// 0.25 ms of a core, a poll 0.08 ms.
const (
	dialsPerSecondPerCore = 1000
	pollsPerSecondPerCore = 1200
)

// ConnectionBudget is how many connections a coordinator may have open for each purpose.
type ConnectionBudget struct {
	Workers   int // to workers
	Nodes     int // from other nodes
	CorePeers int // of these, reserved for other core nodes
	Operators int // from operators and the platform
	Outbound  int // to other nodes and the platform
}

// ConnectionBudget divides the descriptors of a coordinator's process.
func (l *Limits) ConnectionBudget() ConnectionBudget {
	all := l.FileDescriptors - reservedForFiles - reservedForProcess
	connections := func(percent int) int { return max(minConnections, all*percent/allPercent) }
	nodes := connections(nodesPercent)
	return ConnectionBudget{
		Workers: connections(workersPercent), Nodes: nodes, CorePeers: nodes * corePeersPercentOfNodes / allPercent,
		Operators: connections(operatorsPercent), Outbound: connections(outboundPercent),
	}
}

// DialsPerSecond is how many connections to workers a coordinator may open per second on average.
func (l *Limits) DialsPerSecond() float64 { return dialsPerSecondPerCore * l.ProcessorShare }

// PollsPerSecond is how many polls of idle workers a coordinator may make per second.
func (l *Limits) PollsPerSecond() float64 { return pollsPerSecondPerCore * l.ProcessorShare }
