package main

import (
	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideClearCommand struct {
	operatorConnection
	Reason    string `long:"reason" value-name:"STRING" required:"yes" description:"Reason for the change."`
	Author    string `long:"author" value-name:"STRING" env:"USER" default:"operator" description:"Author of the change if the listener uses no tokens."`
	Revision  int64  `long:"revision" value-name:"NUMBER" default:"-1" description:"Revision that the change is based on; the current one by default."`
	Key       string `long:"key" value-name:"STRING" description:"Idempotency key: a command sent again with the same key is executed once."`
	Arguments struct {
		ID uint64 `positional-arg-name:"id" description:"The override's id."`
	} `positional-args:"yes" required:"yes"`
}

func (c *overrideClearCommand) Execute([]string) error {
	if c.Arguments.ID == 0 {
		return usageErrorf("override 0, expected an id as `override list` shows it")
	}
	return c.sendOverride(api.Command{Clear: c.Arguments.ID, Author: c.Author, Reason: c.Reason, Key: c.Key}, c.Revision)
}
