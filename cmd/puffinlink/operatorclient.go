package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
	"puffinlink.example/puffinlink/internal/operators/override"
)

// answerTimeout is how long an aggregator may take for an answer; a command that waits for a disk takes longest.
const answerTimeout = 10 * time.Second

// operatorConnection has the flags that address an aggregator's operators' listener and authenticate to it.
type operatorConnection struct {
	At        string `long:"at" value-name:"ADDRESS" required:"yes" env:"PUFFINLINK_OPERATORS" description:"Address of the operators' listener: unix:/PATH or HOST:PORT."`
	TokenFile string `long:"token-file" value-name:"FILE" description:"File that contains the token; the variable PUFFINLINK_TOKEN is the alternative."`
	JSON      bool   `long:"json" description:"Print JSON."`
}

func (d *operatorConnection) client() (*api.Client, error) {
	token := os.Getenv("PUFFINLINK_TOKEN")
	if d.TokenFile != "" {
		text, err := os.ReadFile(d.TokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(text))
	}
	return api.NewClient(d.At, token)
}

func (d *operatorConnection) get(path string, into any) error {
	c, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return c.Get(ctx, path, into)
}

// exitCode is the exit code of an error.
func exitCode(err error) int {
	e := (*api.Error)(nil)
	switch {
	case errors.As(err, &e) && (e.Code == string(override.Conflict) || e.Code == string(override.KeyReused)):
		return exitConflict
	case errors.As(err, &e):
		return exitRefused
	}
	if u := (*url.Error)(nil); errors.As(err, &u) {
		return exitUnreachable
	}
	return exitFailed
}

func printJSON(v any) error {
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows under a head, whose columns are separated by spaces.
func table(out io.Writer, head string, rows [][]string) {
	writeTable(out, append([][]string{strings.Split(head, " ")}, rows...))
}
