// Command puffinlink runs an aggregator or a process of the cluster scheduler (proxy, agent, coordinator), and has the operators' commands.
package main

import (
	"io"
	"os"
)

// Exit codes, as docs/operators/overrides.md lists them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// What commands print goes here; an aggregator that serves writes its log to standard output itself.
var stdout, stderr io.Writer = os.Stdout, os.Stderr

func main() { os.Exit(runCommandLine(os.Args[1:])) }

// runCommandLine runs a command line and tells its exit code.
func runCommandLine(args []string) int {
	if process, found := findSystemProcess(args); found {
		return runSystemCommand(process, args[1:])
	}
	if isOperation(args) {
		return runOperationCommand(args)
	}
	return runAggregatorCommand(args)
}
