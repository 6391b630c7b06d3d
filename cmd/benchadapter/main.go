// Command benchadapter hosts the decision module for many mixers on the bench's wire.
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
