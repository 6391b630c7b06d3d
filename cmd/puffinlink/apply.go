package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/operatorclient"
)

type applyCommand struct {
	controlOptions
	IfMatch   *uint64 `long:"if-match" value-name:"VERSION" description:"Version that the configuration is based on, 0 for the first; the current one by default."`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"The whole configuration, as JSON."`
	} `positional-args:"yes" required:"yes"`
}

// applied is what the command prints with --json.
type applied struct {
	Version uint64 `json:"version"`
	BuiltOn string `json:"builtOn"`
	Changed bool   `json:"changed"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	parsed, err := configuration.Parse(body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Arguments.File, err)
	}
	builtOn, same, err := c.base(body)
	if err != nil {
		return err
	}
	if same {
		return c.report(applied{Version: parsed.Version, BuiltOn: builtOn})
	}
	request := operatorclient.Request{Method: http.MethodPut, Path: control.ConfigurationPath, IfMatch: builtOn, Body: body}
	if _, err := c.send(request); err != nil {
		return explainApply(err, builtOn)
	}
	return c.report(applied{Version: parsed.Version, BuiltOn: builtOn, Changed: true})
}

// base finds the version to build on, and whether the very same configuration is in force already.
func (c *applyCommand) base(body []byte) (version string, same bool, err error) {
	if c.IfMatch != nil {
		return fmt.Sprint(*c.IfMatch), false, nil
	}
	answer, err := c.send(operatorclient.Request{Method: http.MethodGet, Path: control.ConfigurationPath})
	var refused *operatorclient.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return "0", false, nil // there is none yet
	}
	if err != nil {
		return "", false, fmt.Errorf("read the version in force: %w", err)
	}
	return strings.Trim(answer.Version, `"`), bytes.Equal(answer.Body, body), nil
}

func explainApply(err error, builtOn string) error {
	var refused *operatorclient.RefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusPreconditionFailed {
		return err
	}
	return fmt.Errorf("conflict: it was built on version %s: %w", builtOn, err)
}

func (c *applyCommand) report(result applied) error {
	if c.JSON {
		text, err := json.Marshal(result)
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, string(text))
		return nil
	}
	if !result.Changed {
		fmt.Fprintf(stdout, "version %d is in force already\n", result.Version)
		return nil
	}
	fmt.Fprintf(stdout, "version %d is in force; it was built on version %s\n", result.Version, result.BuiltOn)
	return nil
}
