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

// describeOverride returns the backend or @location that an override applies to, and a short description of its effect.
func describeOverride(o *api.Override) (target, effect string) {
	target = o.Backend
	if o.Location != "" {
		target = "@" + o.Location
	}
	switch {
	case o.Kind == "weight":
		effect = fmt.Sprintf("weight %.3g", o.Weight)
	case o.Kind == "pin" && o.From != nil && o.To != nil:
		effect = fmt.Sprintf("pin %d-%d", *o.From, *o.To)
		if o.Strict {
			effect += " strict"
		}
	default:
		effect = o.Kind
	}
	if o.Index != "" {
		effect += " of " + o.Index
	}
	return target, effect
}

// sendOverride sends a command and prints the resulting change. The command is based on revision, or on the current one if
// revision is negative. If the connection fails, the command is sent once more with the same idempotency key.
func (d *operatorConnection) sendOverride(command api.Command, revision int64) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
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

func printChange(out io.Writer, change *api.Change) {
	target, effect := describeOverride(&change.Override)
	at := time.UnixMilli(int64(1000 * change.At)).Format(time.DateTime)
	line := fmt.Sprintf("%s  revision %d: override %d %s: %s %s, by %s: %s", at, change.Revision, change.Override.ID, change.Action, target, effect, change.Author, change.Reason)
	for _, f := range change.Forced {
		line += "; forced over " + f
	}
	if change.Repeated {
		line += " (it had acted before)"
	}
	fmt.Fprintln(out, line)
}
