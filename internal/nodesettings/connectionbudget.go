package nodesettings

// Numbers of file descriptors of a process that are not available for connections.
const (
	reservedForFiles   = 200 // used by the platform for files outside the data directory
	reservedForProcess = 16  // files in the data directory, listeners and the log
)

// Shares of a coordinator's connections, in percent. They add up to 100, so that connections for one purpose never use up
// those for another.
const (
	workersPercent   = 70 // to workers
	nodesPercent     = 22 // from other nodes: coordinators, agents, proxies
	operatorsPercent = 3
	outboundPercent  = 5 // to other nodes and the platform
	allPercent       = 100

	coordinatorPeersPercentOfNodes = 25 // part of the nodes' share that agents and proxies cannot use
	minConnections                 = 4  // minimum of each share
)

// Rates of new connections to workers and of polls of idle workers, for one processor core. A new connection takes about
// 0.25 ms of processor time, a poll about 0.08 ms.
const (
	dialsPerSecondPerCore = 1000
	pollsPerSecondPerCore = 1200
)

// ConnectionBudget holds the numbers of connections that a coordinator may have open for each purpose.
type ConnectionBudget struct {
	Workers          int // to workers
	Nodes            int // from other nodes
	CoordinatorPeers int // part of Nodes that is reserved for other coordinators
	Operators        int // from operators and the platform
	Outbound         int // to other nodes and the platform
}

// ConnectionBudget divides the file descriptors of a coordinator's process among the purposes.
func (l *Limits) ConnectionBudget() ConnectionBudget {
	all := l.FileDescriptors - reservedForFiles - reservedForProcess
	connections := func(percent int) int { return max(minConnections, all*percent/allPercent) }
	nodes := connections(nodesPercent)
	return ConnectionBudget{
		Workers: connections(workersPercent), Nodes: nodes, CoordinatorPeers: nodes * coordinatorPeersPercentOfNodes / allPercent,
		Operators: connections(operatorsPercent), Outbound: connections(outboundPercent),
	}
}

// DialsPerSecond returns the average number of connections to workers that a coordinator may open per second.
func (l *Limits) DialsPerSecond() float64 { return dialsPerSecondPerCore * l.ProcessorShare }

// PollsPerSecond returns the number of polls of idle workers that a coordinator may make per second.
func (l *Limits) PollsPerSecond() float64 { return pollsPerSecondPerCore * l.ProcessorShare }
