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
	file, err := operatorfile.Read(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.JSON {
		for i := range file.Operators.Tokens {
			file.Operators.Tokens[i].Hash = "(kept)"
		}
		return json.NewEncoder(stdout).Encode(file)
	}
	on := func(is bool) string {
		if is {
			return "on"
		}
		return "off"
	}
	fmt.Fprintf(stdout, "%s: good; overrides %s, operators' listener %s, fleet %s\n", c.Arguments.File, on(file.Overrides.On), on(file.Operators.Listen != ""), on(file.Fleet.On))
	for _, warning := range file.Warnings() {
		fmt.Fprintf(stdout, "%s: note: %s\n", c.Arguments.File, warning)
	}
	return nil
}
