package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
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

func formatRemaining(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

type overrideListCommand struct{ operatorConnection }

func (c *overrideListCommand) Execute([]string) error {
	var v api.View
	if err := c.get("/v1/overrides", &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	fmt.Fprintf(stdout, "mixer %s, revision %d, kept in %s\n", v.Aggregator, v.Revision, v.Storage)
	rows := [][]string{}
	for i := range v.Overrides {
		o := &v.Overrides[i]
		target, does := describeOverride(o)
		rows = append(rows, []string{strconv.FormatUint(o.ID, 10), target, does, formatRemaining(o.EndsIn), o.Author, o.Reason, o.State})
	}
	table(stdout, "ID TARGET DOES ENDS-IN AUTHOR REASON STATE", rows)
	if len(v.Recoveries) > 0 {
		rows = rows[:0]
		for _, r := range v.Recoveries {
			shard := "all"
			if r.Shard != nil {
				shard = strconv.Itoa(*r.Shard)
			}
			rows = append(rows, []string{r.Backend, shard, r.Index, fmt.Sprintf("%.0f%%", 100*r.Level), fmt.Sprintf("%.0f%%", 100*r.Desired)})
		}
		fmt.Fprintln(stdout)
		table(stdout, "RETURNING SHARD INDEX NOW UP-TO", rows)
	}
	return nil
}

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

// shardRange reads "7" or "7-9".
func shardRange(s string) (from, to int, err error) {
	first, last, isRange := strings.Cut(s, "-")
	if !isRange {
		last = first
	}
	from, err = strconv.Atoi(first)
	if err == nil {
		to, err = strconv.Atoi(last)
	}
	if err != nil {
		return 0, 0, usageErrorf("shards are %q, expected one as 7 or a range as 7-9", s)
	}
	return from, to, nil
}

func (c *overrideSetCommand) Execute([]string) error {
	cmd := api.Command{Kind: string(c.Arguments.Kind), Index: c.Index, Weight: c.Weight, Strict: c.Strict, Author: c.Author, Reason: c.Reason,
		For: c.For.Seconds(), UntilRestart: c.UntilRestart, Force: c.Force, Key: c.Key}
	if place, is := strings.CutPrefix(c.Arguments.Target, "@"); is {
		cmd.Location = place
	} else {
		cmd.Backend = c.Arguments.Target
	}
	if c.Shards != "" {
		var err error
		if cmd.From, cmd.To, err = shardRange(c.Shards); err != nil {
			return err
		}
	} else if c.Arguments.Kind == overridePin {
		return usageErrorf("a pin needs --shards")
	}
	return c.sendOverride(cmd, c.Revision)
}

// sendOverride sends a command, for the present revision where none is stated; it goes again where the connection broke, under one key.
func (d *operatorConnection) sendOverride(cmd api.Command, revision int64) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if revision >= 0 {
		r := uint64(revision)
		cmd.Revision = &r
	} else {
		var v api.View
		if err := client.Get(ctx, "/v1/overrides", &v); err != nil {
			return err
		}
		cmd.Revision = &v.Revision
	}
	if cmd.Key == "" {
		key := make([]byte, 16)
		rand.Read(key)
		cmd.Key = hex.EncodeToString(key)
	}
	made, err := client.Send(ctx, cmd)
	if u := (*url.Error)(nil); errors.As(err, &u) && ctx.Err() == nil {
		made, err = client.Send(ctx, cmd)
	}
	if err != nil {
		return err
	}
	if d.JSON {
		return printJSON(made)
	}
	printChange(stdout, &made)
	return nil
}

func printChange(out io.Writer, c *api.Change) {
	target, does := describeOverride(&c.Override)
	at := time.UnixMilli(int64(1000 * c.At)).Format(time.DateTime)
	line := fmt.Sprintf("%s  revision %d: override %d %s: %s %s, by %s: %s", at, c.Revision, c.Override.ID, c.What, target, does, c.Author, c.Reason)
	for _, f := range c.Forced {
		line += "; forced over " + f
	}
	if c.Again {
		line += " (it had acted before)"
	}
	fmt.Fprintln(out, line)
}

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

type overrideWhyCommand struct {
	operatorConnection
	Arguments struct {
		Shard    int    `positional-arg-name:"shard" description:"The shard."`
		Index    string `positional-arg-name:"index" description:"The index."`
		Searcher string `positional-arg-name:"searcher" description:"The backend."`
	} `positional-args:"yes" required:"yes"`
}

func (c *overrideWhyCommand) Execute([]string) error {
	var w api.Why
	q := url.Values{"shard": {strconv.Itoa(c.Arguments.Shard)}, "index": {c.Arguments.Index}, "searcher": {c.Arguments.Searcher}}
	if err := c.get("/v1/why?"+q.Encode(), &w); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(w)
	}
	verdict := "does not go"
	if w.Goes {
		verdict = fmt.Sprintf("goes, at %.0f%% of its usual part calls,", 100*w.Share)
	}
	fmt.Fprintf(stdout, "shard %d of %s %s to %s\n", c.Arguments.Shard, c.Arguments.Index, verdict, c.Arguments.Searcher)
	rows := [][]string{}
	for _, r := range w.Rules {
		by, acts := "-", "suspended"
		if r.Override != 0 {
			by = strconv.FormatUint(r.Override, 10)
		}
		if r.Acts {
			acts = "acts"
		}
		rows = append(rows, []string{r.Rule, acts, by, r.Text})
	}
	table(stdout, "RULE STATE OVERRIDE WHY", rows)
	return nil
}
