// Command puffinlink is a mixer, and what its operators do with it.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes, as docs/operators/overrides.md lists them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// What commands print goes here; a mixer that serves writes its log to standard output itself.
var stdout, stderr io.Writer = os.Stdout, os.Stderr

type commands struct {
	Serve    serveCmd    `cmd:"" default:"1" help:"Serve lookups, as LB_CONFIG says. Example: LB_CONFIG=config.json puffinlink"`
	Check    checkCmd    `cmd:"" help:"Check an operator's file. Example: puffinlink check deploy/operator.json5"`
	Override overrideCmd `cmd:"" help:"List, set, clear, watch and explain overrides of a running mixer. Example: puffinlink override list --at unix:/run/p.sock"`
	Fleet    fleetCmd    `cmd:"" help:"Show, set and explain what the mixers of a fleet agree on. Example: puffinlink fleet show --at unix:/run/p.sock"`
	Capture  captureCmd  `cmd:"" help:"Show, merge, cut and make captures of load. Example: puffinlink capture show all.capture"`
	Plan     planCmd     `cmd:"" help:"Plan a fleet for a load. Example: puffinlink plan report fleet.json5 --capture all.capture"`
	Token    tokenCmd    `cmd:"" help:"Make an operator's token. Example: puffinlink token --key-file /etc/puffinlink/key"`
	Demo     demoCmd     `cmd:"" help:"Run stand-ins, mixers and a small load on this machine. Example: puffinlink demo --for 10s"`
	Version  versionCmd  `cmd:"" help:"Print the version. Example: puffinlink version --json"`
}

func main() { os.Exit(command(os.Args[1:])) }

// command runs a command line and tells its exit code.
func command(args []string) (code int) {
	if process, found := findSystemProcess(args); found {
		return systemCommand(process, args[1:])
	}
	if findOperation(args) {
		return operationCommand(args)
	}
	var c commands
	parser, err := kong.New(&c, kong.Name("puffinlink"), kong.Writers(stdout, stderr), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("A mixer: it reads many shards for one lookup. The processes of the cluster scheduler are puffinlink proxy, agent and coordinator; its operators use status, searchers, jobs, job, why, drain, undrain, cancel, apply and check-settings."), kong.Exit(func(status int) { panic(exit(status)) }))
	if err != nil {
		panic(err) // a mistake in the tags above
	}
	defer func() {
		if status, is := recover().(exit); is { // help was asked for and printed
			code = int(status)
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "puffinlink:", err)
		return coded(err)
	}
	return 0
}

type exit int
