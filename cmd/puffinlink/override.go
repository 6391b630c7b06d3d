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

type overrideCmd struct {
	List    listCmd    `cmd:"" help:"What holds. Example: puffinlink override list --at unix:/run/p.sock"`
	Set     setCmd     `cmd:"" help:"Set one. Example: puffinlink override set out s-12 --for 30m --reason 'slow disk'"`
	Clear   clearCmd   `cmd:"" help:"Clear one. Example: puffinlink override clear 17 --reason 'disk changed'"`
	Watch   watchCmd   `cmd:"" help:"Print changes as they come. Example: puffinlink override watch --json"`
	History historyCmd `cmd:"" help:"The last changes. Example: puffinlink override history --most 20"`
	Why     whyCmd     `cmd:"" help:"Why a shard does or does not go to a searcher. Example: puffinlink override why 7 reads s-12"`
}

// what says in a few words what an override does.
func what(o *api.Override) (target, does string) {
	target = o.Searcher
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

func left(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

type listCmd struct{ door }

func (c *listCmd) Run() error {
	var v api.View
	if err := c.get("/v1/overrides", &v); err != nil {
		return err
	}
	if c.JSON {
		return asJSON(v)
	}
	fmt.Fprintf(stdout, "mixer %s, revision %d, kept in %s\n", v.Mixer, v.Revision, v.Kept)
	rows := [][]string{}
	for i := range v.Overrides {
		o := &v.Overrides[i]
		target, does := what(o)
		rows = append(rows, []string{strconv.FormatUint(o.ID, 10), target, does, left(o.EndsIn), o.Author, o.Reason, o.State})
	}
	table(stdout, "ID TARGET DOES ENDS-IN AUTHOR REASON STATE", rows)
	if len(v.Returning) > 0 {
		rows = rows[:0]
		for _, r := range v.Returning {
			shard := "all"
			if r.Shard != nil {
				shard = strconv.Itoa(*r.Shard)
			}
			rows = append(rows, []string{r.Searcher, shard, r.Index, fmt.Sprintf("%.0f%%", 100*r.Level), fmt.Sprintf("%.0f%%", 100*r.Want)})
		}
		fmt.Fprintln(stdout)
		table(stdout, "RETURNING SHARD INDEX NOW UP-TO", rows)
	}
	return nil
}

type setCmd struct {
	door
	Kind         string        `arg:"" enum:"weight,out,pin" help:"weight, out or pin."`
	Target       string        `arg:"" help:"A searcher, or @ and a location."`
	Weight       float64       `help:"Of a weight: over 0 and up to 1."`
	Shards       string        `help:"Of a pin: one shard or a range, as 7 or 7-9."`
	Strict       bool          `help:"Of a pin: refuse the shard while its searcher is dead, instead of giving it to siblings."`
	Index        string        `help:"For this index alone."`
	For          time.Duration `required:"" help:"When it ends, as 30m."`
	UntilRestart bool          `help:"It ends earlier, with the next start of its searcher."`
	Reason       string        `required:"" help:"Why."`
	Author       string        `env:"USER" default:"operator" help:"Who, where the listener has no tokens."`
	Revision     int64         `default:"-1" help:"Made for this revision; the present one where it is not stated."`
	Key          string        `help:"Names the command, so that it acts once however often it is sent."`
	Force        bool          `help:"Overrule guard rails."`
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
		return 0, 0, fmt.Errorf("shards are %q, expected one as 7 or a range as 7-9", s)
	}
	return from, to, nil
}

func (c *setCmd) Run() error {
	cmd := api.Command{Kind: c.Kind, Index: c.Index, Weight: c.Weight, Strict: c.Strict, Author: c.Author, Reason: c.Reason,
		For: c.For.Seconds(), UntilRestart: c.UntilRestart, Force: c.Force, Key: c.Key}
	if place, is := strings.CutPrefix(c.Target, "@"); is {
		cmd.Location = place
	} else {
		cmd.Searcher = c.Target
	}
	if c.Shards != "" {
		var err error
		if cmd.From, cmd.To, err = shardRange(c.Shards); err != nil {
			return err
		}
	} else if c.Kind == "pin" {
		return errors.New("a pin needs --shards")
	}
	return c.send(cmd, c.Revision)
}

// send sends a command, for the present revision where none is stated; it goes again where the connection broke, under one key.
func (d *door) send(cmd api.Command, revision int64) error {
	client, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		return asJSON(made)
	}
	printChange(stdout, &made)
	return nil
}

func printChange(out io.Writer, c *api.Change) {
	target, does := what(&c.Override)
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

type clearCmd struct {
	door
	ID       uint64 `arg:"" help:"The override's id."`
	Reason   string `required:"" help:"Why."`
	Author   string `env:"USER" default:"operator" help:"Who, where the listener has no tokens."`
	Revision int64  `default:"-1" help:"Made for this revision; the present one where it is not stated."`
	Key      string `help:"Names the command, so that it acts once however often it is sent."`
}

func (c *clearCmd) Run() error {
	if c.ID == 0 {
		return errors.New("override 0, expected an id as `override list` shows it")
	}
	return c.send(api.Command{Clear: c.ID, Author: c.Author, Reason: c.Reason, Key: c.Key}, c.Revision)
}

type watchCmd struct {
	door
	From uint64 `help:"Begin after this revision."`
}

func (c *watchCmd) Run() error {
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

type historyCmd struct {
	door
	Most int `default:"100" help:"How many, 1000 at most."`
}

func (c *historyCmd) Run() error {
	var list []api.Change
	if err := c.get("/v1/history?most="+strconv.Itoa(c.Most), &list); err != nil {
		return err
	}
	if c.JSON {
		return asJSON(list)
	}
	for i := range list {
		printChange(stdout, &list[i])
	}
	return nil
}

type whyCmd struct {
	door
	Shard    int    `arg:"" help:"The shard."`
	Index    string `arg:"" help:"The index."`
	Searcher string `arg:"" help:"The searcher."`
}

func (c *whyCmd) Run() error {
	var w api.Why
	q := url.Values{"shard": {strconv.Itoa(c.Shard)}, "index": {c.Index}, "searcher": {c.Searcher}}
	if err := c.get("/v1/why?"+q.Encode(), &w); err != nil {
		return err
	}
	if c.JSON {
		return asJSON(w)
	}
	verdict := "does not go"
	if w.Goes {
		verdict = fmt.Sprintf("goes, at %.0f%% of its usual part calls,", 100*w.Share)
	}
	fmt.Fprintf(stdout, "shard %d of %s %s to %s\n", c.Shard, c.Index, verdict, c.Searcher)
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
