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

// Variable arms a point: "POINT:PASS:FAULT", as "14:3:stop". Listed names a file to which each point's first pass is
// written, a line each.
const (
	Variable = "PUFFINLINK_FAILPOINT"
	Listed   = "PUFFINLINK_FAILPOINTS_LIST"
	// Once names a file that whoever gets to the armed point first makes: of several processes armed alike one fails.
	Once = "PUFFINLINK_FAILPOINT_ONCE"
	// DelayS is how long a delay lasts, longer than any time-out between nodes.
	DelayS = 1.0
)

type armed struct {
	point Point
	pass  int64
	fault string
}

var (
	arm    armed
	passes [count]atomic.Int64
	list   *os.File
)

func init() {
	if v := os.Getenv(Variable); v != "" {
		if n, err := fmt.Sscanf(strings.ReplaceAll(v, ":", " "), "%d %d %s", &arm.point, &arm.pass, &arm.fault); n != 3 || err != nil {
			panic(fmt.Sprintf("%s is %q, expected POINT:PASS:FAULT", Variable, v))
		}
	}
	if path := os.Getenv(Listed); path != "" {
		list, _ = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
}

// Pass counts a pass of a point, and injects the fault that is armed there.
func Pass(p Point) (f Fault) {
	n := passes[p].Add(1)
	if n == 1 && list != nil {
		fmt.Fprintf(list, "%d\n", p)
	}
	if p != arm.point || n != arm.pass {
		return f
	}
	if path := os.Getenv(Once); path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return Fault{}
		}
		f.Close()
	}
	fmt.Fprintf(os.Stderr, "point %d (%s), pass %d: %s\n", p, Names[p], n, arm.fault)
	switch arm.fault {
	case "kill":
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
	case "stop": // whoever plays it lets it go on
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	case "delay":
		time.Sleep(time.Duration(DelayS * float64(time.Second)))
	case "drop":
		f.Drop = true
	case "double":
		f.Double = true
	case "fail":
		f.Fail = true
	}
	return f
}
