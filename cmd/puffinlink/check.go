package main

import (
	"encoding/json"
	"fmt"

	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

type checkCommand struct {
	JSON      bool `long:"json" description:"Print the file's settings as JSON."`
	Arguments struct {
		File string `positional-arg-name:"file" description:"The file."`
	} `positional-args:"yes" required:"yes"`
}

func (c *checkCommand) Execute([]string) error {
	f, err := operatorfile.Read(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.JSON {
		for i := range f.Operators.Tokens {
			f.Operators.Tokens[i].Hash = "(kept)"
		}
		return json.NewEncoder(stdout).Encode(f)
	}
	on := func(is bool) string {
		if is {
			return "on"
		}
		return "off"
	}
	fmt.Fprintf(stdout, "%s: good; overrides %s, operators' listener %s, fleet %s\n", c.Arguments.File, on(f.Overrides.On), on(f.Operators.Listen != ""), on(f.Fleet.On))
	for _, w := range f.Warnings() {
		fmt.Fprintf(stdout, "%s: note: %s\n", c.Arguments.File, w)
	}
	return nil
}
