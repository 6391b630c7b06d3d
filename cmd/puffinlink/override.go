package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideCommand struct {
	List    overrideListCommand    `command:"list" description:"List the overrides in force. Example: puffinlink override list --at unix:/run/p.sock"`
	Set     overrideSetCommand     `command:"set" description:"Set an override. Example: puffinlink override set out s-12 --for 30m --reason 'slow disk'"`
	Clear   overrideClearCommand   `command:"clear" description:"Clear an override. Example: puffinlink override clear 17 --reason 'disk changed'"`
	Watch   overrideWatchCommand   `command:"watch" description:"Print changes as they happen. Example: puffinlink override watch --json"`
	History overrideHistoryCommand `command:"history" description:"Show the latest changes. Example: puffinlink override history --most 20"`
	Why     overrideWhyCommand     `command:"why" description:"Explain why a shard's subqueries do or do not go to a backend. Example: puffinlink override why 7 reads s-12"`
}

// describeOverride says in a few words what an override does.
func describeOverride(o *api.Override) (target, does string) {
	target = o.Backend
	if o.Location != "" {
		target = "@" + o.Location
	}
	switch {
	case o.Kind == "weight":
		does = fmt.Sprintf("weight %.3g", o.Weight)
	case o.Kind == "pin" && o.From != nil && o.To != nil:
		does = fmt.Sprintf("pin %d-%d", *o.From, *o.To)
		if o.Strict {
			does += " strict"
		}
	default:
		does = o.Kind
	}
	if o.Index != "" {
		does += " of " + o.Index
	}
	return target, does
}

// sendOverride sends a command, for the present revision where none is stated; it goes again where the connection broke, under one key.
func (d *operatorConnection) sendOverride(command api.Command, revision int64) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if revision >= 0 {
		r := uint64(revision)
		command.Revision = &r
	} else {
		var view api.View
		if err := client.Get(ctx, "/v1/overrides", &view); err != nil {
			return err
		}
		command.Revision = &view.Revision
	}
	if command.Key == "" {
		key := make([]byte, 16)
		rand.Read(key)
		command.Key = hex.EncodeToString(key)
	}
	change, err := client.Send(ctx, command)
	if u := (*url.Error)(nil); errors.As(err, &u) && ctx.Err() == nil {
		change, err = client.Send(ctx, command)
	}
	if err != nil {
		return err
	}
	if d.JSON {
		return printJSON(change)
	}
	printChange(stdout, &change)
	return nil
}

func printChange(out io.Writer, c *api.Change) {
	target, does := describeOverride(&c.Override)
	at := time.UnixMilli(int64(1000 * c.At)).Format(time.DateTime)
	line := fmt.Sprintf("%s  revision %d: override %d %s: %s %s, by %s: %s", at, c.Revision, c.Override.ID, c.Action, target, does, c.Author, c.Reason)
	for _, f := range c.Forced {
		line += "; forced over " + f
	}
	if c.Repeated {
		line += " (it had acted before)"
	}
	fmt.Fprintln(out, line)
}
