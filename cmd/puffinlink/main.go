// Command puffinlink runs an aggregator, or one of the processes of the cluster scheduler: proxy, agent or coordinator. It also
// contains the commands with which operators inspect and control both.
package main

import (
	"io"
	"os"
)

// Exit codes. docs/operators/overrides.md documents them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// stdout and stderr receive the output of commands; tests replace them. A serving aggregator writes its log directly to
// os.Stdout instead.
var stdout, stderr io.Writer = os.Stdout, os.Stderr

func main() { os.Exit(runCommandLine(os.Args[1:])) }

// runCommandLine runs the command that args name and returns the exit code.
func runCommandLine(args []string) int {
	if process, found := findClusterProcess(args); found {
		return runProcessCommand(process, args[1:])
	}
	if isOperation(args) {
		return runOperationCommand(args)
	}
	return runAggregatorCommand(args)
}
