package nodesettings

// Of the descriptors of a process, so many are kept by the platform for files outside of the data directory, and so many
// are needed for the files in it, the listeners and the log.
const (
	descriptorsForFiles = 200
	descriptorsOfOwn    = 16
)

// The parts of the connections of a coordinator, in hundredths. Together they are all of them: whoever stays within its part
// never takes a connection from another.
const (
	shareOfWorkers   = 70 // to workers
	shareOfNodes     = 22 // from other nodes: core peers, agents, proxies
	shareOfOperators = 3
	shareOfOwnCalls  = 5 // to other nodes and the platform
	allShares        = 100
	leastOfShare     = 4
)

// The pace of new connections to workers and of looks at idle ones, for a whole core. Opening a connection takes about
// 0.25 ms of a core and a look 0.08 ms.
const (
	dialsPerSOfCore = 1000
	looksPerSOfCore = 1200
)

// ConnectionBudget says how many connections a coordinator may have open for each purpose.
type ConnectionBudget struct {
	Workers   int // to workers
	Nodes     int // from other nodes
	Operators int // from operators and the platform
	OwnCalls  int // to other nodes and the platform
}

// ConnectionBudget divides the descriptors of a coordinator's process.
func (l *Limits) ConnectionBudget() ConnectionBudget {
	all := l.FileDescriptors - descriptorsForFiles - descriptorsOfOwn
	part := func(share int) int { return max(leastOfShare, all*share/allShares) }
	return ConnectionBudget{
		Workers: part(shareOfWorkers), Nodes: part(shareOfNodes),
		Operators: part(shareOfOperators), OwnCalls: part(shareOfOwnCalls),
	}
}

// DialsPerS is how many connections to workers a coordinator may open a second in the long run.
func (l *Limits) DialsPerS() float64 { return dialsPerSOfCore * l.ProcessorShare }

// LooksPerS is how many looks at idle workers a coordinator may make a second.
func (l *Limits) LooksPerS() float64 { return looksPerSOfCore * l.ProcessorShare }
