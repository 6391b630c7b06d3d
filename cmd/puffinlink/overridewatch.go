package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideWatchCommand struct {
	operatorConnection
	From uint64 `long:"from" value-name:"NUMBER" description:"Start after this revision."`
}

func (c *overrideWatchCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err = client.Watch(ctx, c.From, func(change api.Change) error {
		if c.JSON {
			return json.NewEncoder(stdout).Encode(change)
		}
		printChange(stdout, &change)
		return nil
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}
