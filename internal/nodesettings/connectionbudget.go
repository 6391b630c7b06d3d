package nodesettings

// Of the descriptors of a process, so many are kept by the platform for files outside of the data directory, and so many
// are needed for the files in it, the listeners and the log.
const (
	reservedForFiles   = 200
	reservedForProcess = 16
)

// The parts of the connections of a coordinator, in hundredths. Together they are all of them: whoever stays within its part
// never takes a connection from another.
const (
	workersPercent   = 70 // to workers
	nodesPercent     = 22 // from other nodes: core peers, agents, proxies
	operatorsPercent = 3
	outboundPercent  = 5 // to other nodes and the platform
	allPercent       = 100
	minConnections   = 4
)

// The pace of new connections to workers and of looks at idle ones, for a whole core. Opening a connection takes about
// 0.25 ms of a core and a look 0.08 ms.
const (
	dialsPerSecondPerCore = 1000
	pollsPerSecondPerCore = 1200
)

// ConnectionBudget says how many connections a coordinator may have open for each purpose.
type ConnectionBudget struct {
	Workers   int // to workers
	Nodes     int // from other nodes
	Operators int // from operators and the platform
	Outbound  int // to other nodes and the platform
}

// ConnectionBudget divides the descriptors of a coordinator's process.
func (l *Limits) ConnectionBudget() ConnectionBudget {
	all := l.FileDescriptors - reservedForFiles - reservedForProcess
	part := func(share int) int { return max(minConnections, all*share/allPercent) }
	return ConnectionBudget{
		Workers: part(workersPercent), Nodes: part(nodesPercent),
		Operators: part(operatorsPercent), Outbound: part(outboundPercent),
	}
}

// DialsPerSecond is how many connections to workers a coordinator may open a second in the long run.
func (l *Limits) DialsPerSecond() float64 { return dialsPerSecondPerCore * l.ProcessorShare }

// PollsPerSecond is how many looks at idle workers a coordinator may make a second.
func (l *Limits) PollsPerSecond() float64 { return pollsPerSecondPerCore * l.ProcessorShare }
