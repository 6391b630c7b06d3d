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

// aggregatorCommands are the commands of an aggregator and of its operators, in the order of the help.
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

// Texts of the help. exampleSeparator separates a command's description from its example.
const (
	aggregatorDescription = "An aggregator: it reads many shards for one query."
	overviewDescription   = "A cluster scheduler for jobs, and an aggregator that reads many shards for one query."
	exampleSeparator      = " Example: "
)

// defaultCommand is the command that an empty command line runs.
const defaultCommand = "serve"

// runAggregatorCommand runs the aggregator's command that args name and returns the exit code.
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
		return aggregatorExitCode(err)
	}
	return 0
}

// newAggregatorParser returns a parser of the aggregator's commands. The help of each command ends with its example.
func newAggregatorParser() *flags.Parser {
	parser := flags.NewNamedParser("puffinlink", flags.HelpFlag|flags.PassDoubleDash|flags.AllowBoolValues)
	parser.LongDescription = aggregatorDescription
	if _, err := parser.AddGroup("Options", "", new(aggregatorCommands)); err != nil {
		panic(err) // the struct tags of the commands are invalid
	}
	setDescriptions(parser.Commands())
	return parser
}

// setDescriptions splits the descriptions from the struct tags: the help of a command shows the whole text, and lists of
// commands show the text without the example.
func setDescriptions(commands []*flags.Command) {
	for _, command := range commands {
		command.LongDescription = command.ShortDescription
		command.ShortDescription, _, _ = strings.Cut(command.LongDescription, exampleSeparator)
		setDescriptions(command.Commands())
	}
}

// parseAggregatorCommand returns the command that args name, with its flags set, without running it. An error means that the
// command line is invalid, or contains the requested help.
func parseAggregatorCommand(parser *flags.Parser, args []string) (flags.Commander, error) {
	var chosen flags.Commander
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return unexpectedArgument(rest[0])
		}
		chosen = command
		return nil
	}
	rest, err := parser.ParseArgs(args)
	var numberError *strconv.NumError // from a positional argument; for flags the parser's error names the flag
	if errors.As(err, &numberError) {
		return nil, usageErrorf("expected a number but got %q", numberError.Num)
	}
	var flagError *flags.Error
	if !errors.As(err, &flagError) {
		return chosen, err
	}
	switch flagError.Type {
	case flags.ErrUnknownCommand:
		return nil, unexpectedArgument(rest[0])
	case flags.ErrRequired:
		if missing := missingFlags(parser.Command); len(missing) > 0 {
			return nil, usageErrorf("missing flags: %s", strings.Join(missing, ", "))
		}
	}
	return nil, err
}

func unexpectedArgument(argument string) error {
	return usageErrorf("unexpected argument %s", argument)
}

// missingFlags returns the required flags of the chosen command, and of the commands within it, that the command line does not set.
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

// writeOverview writes the help that lists all commands, including nested ones.
func writeOverview(out io.Writer, parser *flags.Parser) {
	fmt.Fprintf(out, "Usage: puffinlink <command>\n\n%s\n", overviewDescription)
	rows := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	writeHeading(rows, "Processes of the cluster scheduler")
	for _, process := range clusterProcesses {
		fmt.Fprintf(rows, "  %s\t%s\n", process.name, process.short)
	}
	writeHeading(rows, "Operators of the cluster scheduler")
	for _, op := range operations {
		fmt.Fprintf(rows, "  %s\t%s. Example: puffinlink %s\n", op.name, op.short, op.example)
	}
	writeHeading(rows, "Aggregator, and both")
	writeCommands(rows, "  ", parser.Commands())
	rows.Flush()
	fmt.Fprintln(out, "\nRun \"puffinlink <command> --help\" for more information on a command.")
}

// writeHeading starts a group of commands. It flushes the rows of the previous group, so that each group aligns its own columns.
func writeHeading(rows *tabwriter.Writer, heading string) {
	rows.Flush()
	fmt.Fprintf(rows, "\n%s:\n", heading)
}

// writeCommands writes a row for each command without subcommands, and descends into the others.
func writeCommands(rows io.Writer, prefix string, commands []*flags.Command) {
	for _, command := range commands {
		if subcommands := command.Commands(); len(subcommands) > 0 {
			writeCommands(rows, prefix+command.Name+" ", subcommands)
			continue
		}
		fmt.Fprintf(rows, "%s%s\t%s\n", prefix, command.Name, command.LongDescription)
	}
}
