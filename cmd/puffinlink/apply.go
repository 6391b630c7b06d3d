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

// applyResult is what the command prints with --json.
type applyResult struct {
	Version     uint64 `json:"version"`
	BaseVersion string `json:"builtOn"`
	Changed     bool   `json:"changed"`
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
	baseVersion, unchanged, err := c.baseVersion(body)
	if err != nil {
		return err
	}
	if unchanged {
		return c.printResult(applyResult{Version: parsed.Version, BaseVersion: baseVersion})
	}
	request := operatorclient.Request{Method: http.MethodPut, Path: control.ConfigurationPath, IfMatch: baseVersion, Body: body}
	if _, err := c.send(request); err != nil {
		return describeApplyConflict(err, baseVersion)
	}
	return c.printResult(applyResult{Version: parsed.Version, BaseVersion: baseVersion, Changed: true})
}

// baseVersion returns the version that the new configuration is based on: --if-match, or else the version in force. It reports
// unchanged if body equals the configuration in force.
func (c *applyCommand) baseVersion(body []byte) (version string, unchanged bool, err error) {
	if c.IfMatch != nil {
		return fmt.Sprint(*c.IfMatch), false, nil
	}
	response, err := c.send(operatorclient.Request{Method: http.MethodGet, Path: control.ConfigurationPath})
	var refused *operatorclient.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return "0", false, nil // no configuration has been applied yet
	}
	if err != nil {
		return "", false, fmt.Errorf("read the version in force: %w", err)
	}
	return strings.Trim(response.Version, `"`), bytes.Equal(response.Body, body), nil
}

// describeApplyConflict adds the base version to the error of a request that failed because another version is in force.
func describeApplyConflict(err error, baseVersion string) error {
	var refused *operatorclient.RefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusPreconditionFailed {
		return err
	}
	return fmt.Errorf("conflict: it was built on version %s: %w", baseVersion, err)
}

func (c *applyCommand) printResult(result applyResult) error {
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
	fmt.Fprintf(stdout, "version %d is in force; it was built on version %s\n", result.Version, result.BaseVersion)
	return nil
}
