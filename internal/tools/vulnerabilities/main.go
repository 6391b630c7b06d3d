// Command vulnerabilities reads what govulncheck -format json finds in the code, on standard input, and tells it in a line each. It fails
// where a module of go.mod has a known vulnerability in a function that the code calls: a newer version mends that here. One in
// Go's standard library is told only: the machine's toolchain has to be replaced for it.
package main

import (
	"fmt"
	"io"
	"os"
)

// Exit codes.
const (
	exitGood       = 0
	exitVulnerable = 1
	exitUnreadable = 2
)

func main() { os.Exit(run(os.Stdin, os.Stdout, os.Stderr)) }

// run tells the findings and returns the exit code.
func run(in io.Reader, out, failures io.Writer) int {
	found, err := read(in)
	if err != nil {
		fmt.Fprintln(failures, "vulnerabilities:", err)
		return exitUnreadable
	}
	code := exitGood
	for _, one := range found.called {
		fmt.Fprintln(out, one.line(found.summaries[one.OSV]))
		if !one.inStandardLibrary() {
			code = exitVulnerable
		}
	}
	fmt.Fprintf(out, "%d modules looked at, %d known vulnerabilities reached\n", found.modules, len(found.called))
	return code
}
