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

// responseTimeout is how long to wait for an aggregator's response. Commands that wait for a disk write take longest.
const responseTimeout = 10 * time.Second

// operatorConnection are the flags that name an aggregator's listener for operators and authenticate to it.
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

func (d *operatorConnection) get(path string, result any) error {
	c, err := d.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	return c.Get(ctx, path, result)
}

// aggregatorExitCode returns the exit code for an error of one of the aggregator's commands.
func aggregatorExitCode(err error) int {
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

// writeTableWithHeader writes a header and rows in aligned columns. Spaces separate the column names in header.
func writeTableWithHeader(out io.Writer, header string, rows [][]string) {
	writeTable(out, append([][]string{strings.Split(header, " ")}, rows...))
}
