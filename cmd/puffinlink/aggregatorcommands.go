package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// aggregatorCommands are the commands of an aggregator and of its operators, by the order of the help.
type aggregatorCommands struct {
	Serve    serveCommand    `command:"serve" description:"Serve queries with the configuration that LB_CONFIG names. Example: LB_CONFIG=config.json puffinlink"`
	Check    checkCommand    `command:"check" description:"Check an operator's file. Example: puffinlink check deploy/operator.json5"`
	Override overrideCommand `command:"override" description:"List, set, clear, watch and explain overrides of a running aggregator. Example: puffinlink override list --at unix:/run/p.sock"`
	Fleet    fleetCommand    `command:"fleet" description:"Show, set and explain the contracts and quotas that a fleet's aggregators agree on. Example: puffinlink fleet show --at unix:/run/p.sock"`
	Capture  captureCommand  `command:"capture" description:"Show, merge, cut and generate captures of load. Example: puffinlink capture show all.capture"`
	Plan     planCommand     `command:"plan" description:"Plan a fleet's capacity for a load. Example: puffinlink plan report fleet.json5 --capture all.capture"`
	Token    tokenCommand    `command:"token" description:"Create an operator's token. Example: puffinlink token --key-file /etc/puffinlink/key"`
	Demo     demoCommand     `command:"demo" description:"Run fake backends, aggregators and a small load on this machine. Example: puffinlink demo --for 10s"`
	Version  versionCommand  `command:"version" description:"Print the version. Example: puffinlink version --json"`
}

const (
	aggregatorDescription = "An aggregator: it reads many shards for one query."
	overviewDescription   = "A cluster scheduler for jobs, and an aggregator that reads many shards for one query."
	exampleMark           = " Example: "
)

// defaultCommand is what an empty command line means.
const defaultCommand = "serve"

// runAggregatorCommand runs one of the aggregator's commands and tells its exit code.
func runAggregatorCommand(args []string) int {
	if len(args) == 0 {
		args = []string{defaultCommand}
	}
	parser := newAggregatorParser()
	chosen, err := parseAggregatorCommand(parser, args)
	if flags.WroteHelp(err) {
		if parser.Active == nil {
			writeOverview(stdout, parser)
		} else {
			fmt.Fprintln(stdout, err)
		}
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return exitUsage
	}
	if err := chosen.Execute(nil); err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return exitCode(err)
	}
	return 0
}

// newAggregatorParser makes a parser of the aggregator's commands. The help of each one ends with its example.
func newAggregatorParser() *flags.Parser {
	parser := flags.NewNamedParser("puffinlink", flags.HelpFlag|flags.PassDoubleDash|flags.AllowBoolValues)
	parser.LongDescription = aggregatorDescription
	if _, err := parser.AddGroup("Options", "", new(aggregatorCommands)); err != nil {
		panic(err) // a mistake in the tags
	}
	setDescriptions(parser.Commands())
	return parser
}

// setDescriptions gives all commands their whole text as the description that their own help shows, and the text without the example as the one
// that lists show.
func setDescriptions(commands []*flags.Command) {
	for _, one := range commands {
		one.LongDescription = one.ShortDescription
		one.ShortDescription, _, _ = strings.Cut(one.LongDescription, exampleMark)
		setDescriptions(one.Commands())
	}
}

// parseAggregatorCommand finds the command that a line means, with its flags set. All errors are the line's.
func parseAggregatorCommand(parser *flags.Parser, args []string) (flags.Commander, error) {
	var chosen flags.Commander
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return unexpected(rest[0])
		}
		chosen = command
		return nil
	}
	rest, err := parser.ParseArgs(args)
	var number *strconv.NumError // of an argument; for flags the parser names them
	if errors.As(err, &number) {
		return nil, usageErrorf("expected a number but got %q", number.Num)
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		return chosen, err
	}
	switch usage.Type {
	case flags.ErrUnknownCommand:
		return nil, unexpected(rest[0])
	case flags.ErrRequired:
		if missing := missingFlags(parser.Command); len(missing) > 0 {
			return nil, usageErrorf("missing flags: %s", strings.Join(missing, ", "))
		}
	}
	return nil, err
}

func unexpected(argument string) error { return usageErrorf("unexpected argument %s", argument) }

// missingFlags lists the flags that the chosen command needs and the line lacks.
func missingFlags(chosen *flags.Command) []string {
	var missing []string
	for ; chosen != nil; chosen = chosen.Active {
		for _, option := range chosen.Options() {
			if option.Required && !option.IsSet() {
				missing = append(missing, fmt.Sprintf("--%s=%s", option.LongName, option.ValueName))
			}
		}
	}
	return missing
}

// writeOverview prints all commands, those within others too.
func writeOverview(out io.Writer, parser *flags.Parser) {
	fmt.Fprintf(out, "Usage: puffinlink <command>\n\n%s\n", overviewDescription)
	rows := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	writeHeading(rows, "Processes of the cluster scheduler")
	for _, process := range systemProcesses {
		fmt.Fprintf(rows, "  %s\t%s\n", process.name, process.short)
	}
	writeHeading(rows, "Operators of the cluster scheduler")
	for _, one := range operations {
		fmt.Fprintf(rows, "  %s\t%s. Example: puffinlink %s\n", one.name, one.short, one.example)
	}
	writeHeading(rows, "Aggregator, and both")
	writeCommands(rows, "  ", parser.Commands())
	rows.Flush()
	fmt.Fprintln(out, "\nRun \"puffinlink <command> --help\" for more information on a command.")
}

// writeHeading begins a group of commands. It ends the columns of the group before.
func writeHeading(rows *tabwriter.Writer, heading string) {
	rows.Flush()
	fmt.Fprintf(rows, "\n%s:\n", heading)
}

// writeCommands prints a row for each command that is not made of others.
func writeCommands(rows io.Writer, before string, commands []*flags.Command) {
	for _, one := range commands {
		if within := one.Commands(); len(within) > 0 {
			writeCommands(rows, before+one.Name+" ", within)
			continue
		}
		fmt.Fprintf(rows, "%s%s\t%s\n", before, one.Name, one.LongDescription)
	}
}
