// Command benchadapter runs the decision module for many aggregators under the benchmark, with which it exchanges messages on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"puffinlink.example/puffinlink/internal/tools/benchadapter"
)

func main() {
	if err := benchadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchadapter:", err)
		os.Exit(1)
	}
}
