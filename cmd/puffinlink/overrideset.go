package main

import (
	"strconv"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideSetCommand struct {
	operatorConnection
	Weight       float64       `long:"weight" value-name:"NUMBER" description:"For kind weight: the weight, above 0 and up to 1."`
	Shards       string        `long:"shards" value-name:"STRING" description:"For kind pin: one shard or a range, for example 7 or 7-9."`
	Strict       bool          `long:"strict" description:"For kind pin: reject the shard's subqueries while its backend is down instead of sending them to replicas."`
	Index        string        `long:"index" value-name:"STRING" description:"Apply to this index only."`
	For          time.Duration `long:"for" value-name:"DURATION" required:"yes" description:"How long the override lasts, for example 30m."`
	UntilRestart bool          `long:"until-restart" description:"End the override earlier, when its backend restarts."`
	Reason       string        `long:"reason" value-name:"STRING" required:"yes" description:"Reason for the change."`
	Author       string        `long:"author" value-name:"STRING" env:"USER" default:"operator" description:"Author of the change if the listener uses no tokens."`
	Revision     int64         `long:"revision" value-name:"NUMBER" default:"-1" description:"Revision that the change is based on; the current one by default."`
	Key          string        `long:"key" value-name:"STRING" description:"Idempotency key: a command sent again with the same key is executed once."`
	Force        bool          `long:"force" description:"Override the guard rails."`
	Arguments    struct {
		Kind   overrideKind `positional-arg-name:"kind" description:"weight, out or pin."`
		Target string       `positional-arg-name:"target" description:"A backend, or @ followed by a location."`
	} `positional-args:"yes" required:"yes"`
}

// parseShardRange parses a shard or a range of shards, for example "7" or "7-9".
func parseShardRange(text string) (from, to int, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, err = strconv.Atoi(first)
	if err == nil {
		to, err = strconv.Atoi(last)
	}
	if err != nil {
		return 0, 0, usageErrorf("shards are %q, expected one as 7 or a range as 7-9", text)
	}
	return from, to, nil
}

func (c *overrideSetCommand) Execute([]string) error {
	command := api.Command{Kind: string(c.Arguments.Kind), Index: c.Index, Weight: c.Weight, Strict: c.Strict, Author: c.Author, Reason: c.Reason,
		DurationSeconds: c.For.Seconds(), UntilRestart: c.UntilRestart, Force: c.Force, Key: c.Key}
	if location, isLocation := strings.CutPrefix(c.Arguments.Target, "@"); isLocation {
		command.Location = location
	} else {
		command.Backend = c.Arguments.Target
	}
	if c.Shards != "" {
		var err error
		if command.From, command.To, err = parseShardRange(c.Shards); err != nil {
			return err
		}
	} else if c.Arguments.Kind == overridePin {
		return usageErrorf("a pin needs --shards")
	}
	return c.sendOverride(command, c.Revision)
}
