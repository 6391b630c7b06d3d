// Command drill hosts the decision module for many mixers on the bench's wire.
package main

import (
	"fmt"
	"os"

	"puffinlink.example/puffinlink/internal/tools/drill"
)

func main() {
	if err := drill.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
