package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/entitytag"
	control "puffinlink.example/puffinlink/internal/controlplane/operations"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/operatorclient"
)

// serviceOption is the flag that restricts a command to one service.
type serviceOption struct {
	Service string `long:"service" value-name:"NAME" description:"Only this service."`
}

func (o *serviceOption) query() url.Values { return queryValues(control.ServiceParameter, o.Service) }

type statusCommand struct{ controlOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var report control.Status
	return c.sendAndPrint(operatorclient.Request{Method: http.MethodGet, Path: control.StatusPath}, &report, func() { printStatus(&report) })
}

type workersCommand struct {
	controlOptions
	serviceOption
}

// Execute implements flags.Commander.
func (c *workersCommand) Execute([]string) error {
	var report control.WorkerList
	request := operatorclient.Request{Method: http.MethodGet, Path: control.WorkersPath, Query: c.query()}
	return c.sendAndPrint(request, &report, func() { printWorkers(&report) })
}

type jobsCommand struct {
	controlOptions
	serviceOption
	State string `long:"state" choice:"queued" choice:"running" choice:"completed" choice:"failed" choice:"cancelled" description:"Only jobs of this state."`
	Limit int    `long:"limit" default:"100" description:"Maximum number of jobs, up to 1000."`
}

// Execute implements flags.Commander.
func (c *jobsCommand) Execute([]string) error {
	var report control.JobList
	query := queryValues(control.ServiceParameter, c.Service, control.StateParameter, c.State, control.LimitParameter, strconv.Itoa(c.Limit))
	request := operatorclient.Request{Method: http.MethodGet, Path: control.JobsPath, Query: query}
	return c.sendAndPrint(request, &report, func() { printJobs(&report) })
}

// jobArgument is the positional argument of commands that act on one job.
type jobArgument struct {
	Arguments struct {
		ID string `positional-arg-name:"ID" description:"The job's 16 hexadecimal digits."`
	} `positional-args:"yes" required:"yes"`
}

func (a *jobArgument) path() string { return control.JobsPath + "/" + url.PathEscape(a.Arguments.ID) }

type jobCommand struct {
	controlOptions
	serviceOption
	jobArgument
}

// Execute implements flags.Commander.
func (c *jobCommand) Execute([]string) error {
	var report jobreport.JobDetail
	request := operatorclient.Request{Method: http.MethodGet, Path: c.path(), Query: c.query()}
	return c.sendAndPrint(request, &report, func() { printJob(&report) })
}

type whyCommand struct {
	controlOptions
	serviceOption
	jobArgument
}

// Execute implements flags.Commander.
func (c *whyCommand) Execute([]string) error {
	var report jobreport.Explanation
	request := operatorclient.Request{Method: http.MethodGet, Path: c.path() + control.ExplainSuffix, Query: c.query()}
	return c.sendAndPrint(request, &report, func() { printWhy(&report) })
}

type cancelCommand struct {
	controlOptions
	serviceOption
	jobArgument
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	var report control.CancelledJob
	request := operatorclient.Request{Method: http.MethodDelete, Path: c.path(), Query: c.query()}
	return c.sendAndPrint(request, &report, func() { fmt.Fprintf(stdout, "job %s of service %s is cancelled\n", report.ID, report.Service) })
}

// drainOptions are the flags and arguments of drain and undrain.
type drainOptions struct {
	controlOptions
	serviceOption
	Arguments struct {
		ID string `positional-arg-name:"ID" description:"The worker's identifier, as the command searchers lists it."`
	} `positional-args:"yes" required:"yes"`
}

// changeDrain starts or ends the operator's drain of a worker. The request carries the worker's current drain version, so that
// a delayed duplicate that arrives after a later command has no effect. If no leader lists the worker, the request carries no
// version.
func (o *drainOptions) changeDrain(method string, printReport func(report *jobreport.Worker)) error {
	var list control.WorkerList
	if _, err := o.sendAndDecode(operatorclient.Request{Method: http.MethodGet, Path: control.WorkersPath, Query: o.query()}, &list); err != nil {
		return err
	}
	path := control.WorkersPath + "/" + url.PathEscape(o.Arguments.ID) + control.DrainSuffix
	request := operatorclient.Request{Method: method, Path: path, Query: o.query()}
	for _, worker := range list.Workers {
		if worker.ID == o.Arguments.ID {
			request.IfMatch = entitytag.Format(worker.DrainVersion)
		}
	}
	var report jobreport.Worker
	return o.sendAndPrint(request, &report, func() { printReport(&report) })
}

type drainCommand struct{ drainOptions }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return c.changeDrain(http.MethodPost, func(report *jobreport.Worker) {
		fmt.Fprintf(stdout, "searcher %s gets no new starts; runs that go on there: %d\n", report.ID, report.Attempts)
	})
}

type undrainCommand struct{ drainOptions }

// Execute implements flags.Commander.
func (c *undrainCommand) Execute([]string) error {
	return c.changeDrain(http.MethodDelete, func(report *jobreport.Worker) {
		fmt.Fprintf(stdout, "searcher %s gets starts again; it is %s\n", report.ID, report.State)
	})
}

type checkSettingsCommand struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"The settings file."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkSettingsCommand) Execute([]string) error {
	settings, err := nodesettings.LoadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: good; node %s, class %s, serves %v\n", c.Arguments.File, settings.NodeName, settings.MachineClass, settings.Serves)
	return nil
}
