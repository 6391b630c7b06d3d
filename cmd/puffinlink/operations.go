package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/jessevdk/go-flags"

	"puffinlink.example/puffinlink/internal/operatorclient"
)

// controlAddressVariable is the environment variable that provides the default of --at.
const controlAddressVariable = "PUFFINLINK_CONTROL"

// operation is a command with which operators inspect and control the cluster scheduler.
type operation struct {
	name        string
	short       string
	description string
	example     string
	make        func() flags.Commander
}

// operations lists the commands in the order of the help.
var operations = []operation{
	{"status", "Show the nodes, the leaders and the configuration's version",
		"Shows the node that answers, the members it receives heartbeats from, the leader of each service's jobs, and the configuration's version.",
		"status --at 10.1.0.15:8146", func() flags.Commander { return new(statusCommand) }},
	{"workers", "List the workers", "Lists the workers with state, window, latency, failures, attempts and capacity.",
		"workers --at 10.1.0.15:8146 --service kursmotor", func() flags.Commander { return new(workersCommand) }},
	{"jobs", "List jobs", "Lists the newest jobs, unfinished ones first.",
		"jobs --at 10.1.0.15:8146 --state queued --limit 20", func() flags.Commander { return new(jobsCommand) }},
	{"job", "Show one job", "Shows a job with its stages, tasks by state, attempts and failures.",
		"job 5c0e7a21d94b36f8 --at 10.1.0.15:8146", func() flags.Commander { return new(jobCommand) }},
	{"why", "Explain why a job waits", "Lists for each stage with waiting tasks the workers that were excluded, and why.",
		"why 5c0e7a21d94b36f8 --at 10.1.0.15:8146", func() flags.Commander { return new(whyCommand) }},
	{"drain", "Stop starting tasks on a worker", "Starts no new tasks on a worker; running ones continue. Later leaders respect it until undrain.",
		"drain i-7f3a91c2 --at 10.1.0.15:8146", func() flags.Commander { return new(drainCommand) }},
	{"undrain", "Start tasks on a worker again", "Ends an operator's drain.",
		"undrain i-7f3a91c2 --at 10.1.0.15:8146", func() flags.Commander { return new(undrainCommand) }},
	{"cancel", "Cancel a job", "Cancels a job and stops its tasks. Cancelling it again changes nothing.",
		"cancel 5c0e7a21d94b36f8 --at 10.1.0.15:8146", func() flags.Commander { return new(cancelCommand) }},
	{"apply", "Apply a configuration", "Validates a configuration and applies it. It is based on the version in force, which is read first, or on --if-match.",
		"apply configuration.json --at 10.1.0.15:8146", func() flags.Commander { return new(applyCommand) }},
	{"check-settings", "Check a settings file", "Checks the settings file of a process without starting it.",
		"check-settings /etc/puffinlink/local.conf", func() flags.Commander { return new(checkSettingsCommand) }},
}

// operationAliases maps commands to the names that they had in earlier versions.
var operationAliases = map[string][]string{"workers": {"searchers"}}

// operationUsage ends the help of each command. The command's example follows it.
const operationUsage = "\n\nExit codes: 0 done, 1 failed or not valid, 2 command line not valid, 3 refused, 4 conflict, 5 no node gave a clear answer." +
	"\n\nExample: puffinlink "

// controlOptions are the flags of all commands that send requests to a node.
type controlOptions struct {
	At      []string      `long:"at" value-name:"HOST:PORT" required:"yes" env:"PUFFINLINK_CONTROL" env-delim:"," description:"Control address of a node; repeat the flag to name further nodes, tried in turn."`
	JSON    bool          `long:"json" description:"Print the node's response as JSON."`
	Timeout time.Duration `long:"timeout" default:"10s" description:"Timeout of each request, over all addresses tried."`
}

// isOperation reports whether a command line runs one of the operations or an alias of one.
func isOperation(args []string) bool {
	if len(args) == 0 {
		return false
	}
	isNamed := func(op operation) bool {
		return op.name == args[0] || slices.Contains(operationAliases[op.name], args[0])
	}
	return slices.ContainsFunc(operations, isNamed)
}

// runOperationCommand runs the operation that args name and returns the exit code.
func runOperationCommand(args []string) int {
	parser := flags.NewNamedParser("puffinlink", flags.HelpFlag|flags.PassDoubleDash)
	for _, op := range operations {
		command, err := parser.AddCommand(op.name, op.short, op.description+operationUsage+op.example, op.make())
		if err != nil {
			panic(err) // the struct tags of the command are invalid
		}
		command.Aliases = operationAliases[op.name]
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: "unexpected argument " + rest[0]}
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	return reportOperationResult(args[0], err)
}

// reportOperationResult prints the help or error that a command ended with and returns the exit code.
func reportOperationResult(name string, err error) int {
	var flagError *flags.Error
	switch {
	case err == nil:
		return 0
	case flags.WroteHelp(err):
		fmt.Fprintln(stdout, err)
		return 0
	case errors.As(err, &flagError):
		fmt.Fprintf(stderr, "puffinlink %s: %v; see puffinlink %s --help\n", name, err, name)
		return exitUsage
	}
	fmt.Fprintf(stderr, "puffinlink %s: %v\n", name, err)
	return operationExitCode(err)
}

// operationExitCode returns the exit code for an error of a request.
func operationExitCode(err error) int {
	var refused *operatorclient.RefusedError
	var unreachable *operatorclient.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return exitUnreachable
	case !errors.As(err, &refused):
		return exitFailed
	case refused.Status == http.StatusConflict, refused.Status == http.StatusPreconditionFailed:
		return exitConflict
	}
	return exitRefused
}

// sendAndDecode sends a request and decodes the JSON response into report. It returns the response's body.
func (o *controlOptions) sendAndDecode(request operatorclient.Request, report any) ([]byte, error) {
	response, err := o.send(request)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(response.Body, report); err != nil {
		return nil, fmt.Errorf("the answer of %s cannot be read: %w; compare the versions of the program", response.Address, err)
	}
	return response.Body, nil
}

// send sends a request to the nodes of --at, tried in turn.
func (o *controlOptions) send(request operatorclient.Request) (operatorclient.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	client := operatorclient.Client{Addresses: o.At, HTTP: operatorclient.NewHTTPClient()}
	defer client.HTTP.CloseIdleConnections()
	return client.Do(ctx, request)
}

// sendAndPrint sends a request and decodes the response into report. It prints the response as JSON if --json is set, and
// calls printReport otherwise.
func (o *controlOptions) sendAndPrint(request operatorclient.Request, report any, printReport func()) error {
	body, err := o.sendAndDecode(request, report)
	if err != nil {
		return err
	}
	if !o.JSON {
		printReport()
		return nil
	}
	text := jsontext.Value(body)
	if err := text.Indent(); err != nil {
		return fmt.Errorf("print the answer: %w", err)
	}
	fmt.Fprintln(stdout, string(text))
	return nil
}

// queryValues builds a query from pairs of names and values, and skips pairs whose value is empty.
func queryValues(pairs ...string) url.Values {
	query := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			query.Set(pairs[i], pairs[i+1])
		}
	}
	return query
}
