package main

import (
	"strconv"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideHistoryCommand struct {
	operatorConnection
	Most int `long:"most" value-name:"NUMBER" default:"100" description:"Maximum number of changes, up to 1000."`
}

func (c *overrideHistoryCommand) Execute([]string) error {
	var list []api.Change
	if err := c.get("/v1/history?most="+strconv.Itoa(c.Most), &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	for i := range list {
		printChange(stdout, &list[i])
	}
	return nil
}
