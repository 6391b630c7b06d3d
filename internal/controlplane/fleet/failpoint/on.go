//go:build failpoints

package failpoint

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Environment variables, and the length of a delay.
const (
	// ArmVariable is the variable that arms a point, in the form "POINT:PASS:FAULT", for example "14:3:stop".
	ArmVariable = "PUFFINLINK_FAILPOINT"
	// ListVariable names a file. Pass appends a line to it with the number of each point that it is called for the first time.
	ListVariable = "PUFFINLINK_FAILPOINTS_LIST"
	// OnceVariable names a file that the first process to reach the armed point creates. So the fault happens in only one of
	// several processes with the same point armed.
	OnceVariable = "PUFFINLINK_FAILPOINT_ONCE"
	// DelaySeconds is how long a delay lasts. It is longer than any time-out between nodes.
	DelaySeconds = 1.0
)

type armedFault struct {
	point Point
	pass  int64
	fault string
}

var (
	armed  armedFault
	passes [pointCount]atomic.Int64
	list   *os.File
)

func init() {
	if v := os.Getenv(ArmVariable); v != "" {
		if n, err := fmt.Sscanf(strings.ReplaceAll(v, ":", " "), "%d %d %s", &armed.point, &armed.pass, &armed.fault); n != 3 || err != nil {
			panic(fmt.Sprintf("%s is %q, expected POINT:PASS:FAULT", ArmVariable, v))
		}
	}
	if path := os.Getenv(ListVariable); path != "" {
		list, _ = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
}

// Pass counts a pass of a point. At the pass that is armed it injects the fault, or returns it for the caller to handle.
func Pass(p Point) (f Fault) {
	n := passes[p].Add(1)
	if n == 1 && list != nil {
		fmt.Fprintf(list, "%d\n", p)
	}
	if p != armed.point || n != armed.pass {
		return f
	}
	if path := os.Getenv(OnceVariable); path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return Fault{}
		}
		f.Close()
	}
	fmt.Fprintf(os.Stderr, "point %d (%s), pass %d: %s\n", p, Names[p], n, armed.fault)
	switch armed.fault {
	case "kill":
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
	case "stop": // the test resumes the process
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	case "delay":
		time.Sleep(time.Duration(DelaySeconds * float64(time.Second)))
	case "drop":
		f.Drop = true
	case "double":
		f.Duplicate = true
	case "fail":
		f.Fail = true
	}
	return f
}
