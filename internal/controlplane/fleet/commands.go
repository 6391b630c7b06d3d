package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// Result is the outcome of a command: the version of the table that it changed, or why it changed none.
type Result struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`                   // of the table that it made
	Failure string `cbor:"2,keyasint,omitempty" json:"wrong,omitempty"` // why it changed nothing
}

// Errors that an operator sees.
var (
	// ErrNoLeader says that no confirmed leader answered a command in time.
	ErrNoLeader = errors.New("no mixer that leads the council answers: a majority of voters has to reach each other; the command may still act, and sending it again with its id does no harm")
	errStopping = errors.New("the mixer stops")
	errNotOpen  = errors.New("the fleet's address or directory is not open yet")
)

const (
	commandTimeout = 10.0
	// commandRetryInterval is how often a command is sent again whose response may be lost.
	commandRetryInterval = 0.5
	maxPendingCommands   = 64 // as many as operators have connections, and those of other nodes
)

// pendingCommand is a command, or a question about one, of ours or of another node.
type pendingCommand struct {
	commandRequest
	reply    chan commandOutcome // ours; it has room for one
	from     membership.Name     // another's; "" for ours
	deadline float64
	retryAt  float64
}

// ours tells whether the command came from this node.
func (c *pendingCommand) ours() bool { return c.from == "" }

// commandOutcome is what a command or question comes to.
type commandOutcome struct {
	result   Result
	progress *residency.Progress
	err      error
}

// commandQueue keeps the commands that wait for their outcome.
type commandQueue struct{ pending []*pendingCommand }

func (q *commandQueue) full() bool { return len(q.pending) >= maxPendingCommands }

func (q *commandQueue) add(c *pendingCommand) { q.pending = append(q.pending, c) }

func (q *commandQueue) remove(c *pendingCommand) {
	q.pending = slices.DeleteFunc(q.pending, func(other *pendingCommand) bool { return other == c })
}

// has tells whether a node's command of that number waits.
func (q *commandQueue) has(from membership.Name, number uint64) bool {
	return slices.ContainsFunc(q.pending, func(c *pendingCommand) bool { return c.from == from && c.Number == number })
}

// all is a copy, so that commands may be removed while it is read.
func (q *commandQueue) all() []*pendingCommand { return slices.Clone(q.pending) }

// Do proposes a command, and returns once it was applied or rejected, which Result tells, or after 10 s. The error is
// ErrNoLeader where no leader answered in that time: the command may still be applied. The same CommandID may be sent again.
func (f *Fleet) Do(c consensus.Command) (Result, error) {
	outcome := f.doCommand(commandRequest{Command: c})
	return outcome.result, outcome.err
}

// Progress asks the leader how many nodes apply a version of the contracts, 0 for the current one, to one tenant. Its errors are
// those of Do.
func (f *Fleet) Progress(version residency.Version, tenant quota.Tenant) (residency.Progress, error) {
	outcome := f.doCommand(commandRequest{Query: &progressQuery{version, tenant}})
	if outcome.err != nil || outcome.progress == nil {
		return residency.Progress{}, cmp.Or(outcome.err, ErrNoLeader)
	}
	return *outcome.progress, nil
}

func (f *Fleet) doCommand(request commandRequest) commandOutcome {
	c := &pendingCommand{commandRequest: request, reply: make(chan commandOutcome, 1)}
	f.events.Put(event{kind: commandSubmitted, command: c})
	select {
	case outcome := <-c.reply:
		return outcome
	case <-f.stopped:
		return commandOutcome{err: errStopping}
	}
}

// validateCommand checks a command against this node's settings.
func (f *Fleet) validateCommand(c *consensus.Command) error {
	switch {
	case c.Contract != nil && c.Contract.Contract != nil:
		return f.settings.Names.Check(c.Contract.Tenant, c.Contract.Contract)
	case c.Quota != nil && c.Quota.Quota != nil:
		if !slices.Contains(f.settings.Names.Tenants, string(c.Quota.Tenant)) {
			return invalid("tenant %q is none that the settings know, expected one of %q", c.Quota.Tenant, f.settings.Names.Tenants)
		}
		if fault, _ := c.Quota.Quota.Check(len(f.settings.Membership.Members)); fault != "" {
			return ValidationError(fault)
		}
	}
	return nil
}

func (f *Fleet) enqueueCommand(c *pendingCommand) {
	switch err := f.validateCommand(&c.Command); {
	case f.detector == nil:
		c.reply <- commandOutcome{err: errNotOpen}
	case err != nil:
		c.reply <- commandOutcome{result: Result{Failure: err.Error()}}
	case f.commands.full():
		c.reply <- commandOutcome{err: errTooManyCommands}
	default:
		c.Number, c.deadline, c.retryAt = f.granters.nextNumber(), f.now+commandTimeout, f.now
		f.commands.add(c)
		f.attemptCommand(c)
	}
}

// attemptCommand executes a command where this node leads, and else forwards one of ours to the leader.
func (f *Fleet) attemptCommand(c *pendingCommand) {
	c.retryAt = f.now + commandRetryInterval
	switch leader := f.currentGranter(); {
	case f.isConfirmedLeader():
		f.executeCommand(c)
	case c.ours() && leader != f.settings.Self:
		for range failpoint.Pass(failpoint.ForwardCommand).Copies() {
			f.send(leader, messageCommandRequest, c.commandRequest)
		}
	}
}

// executeCommand answers a question, or proposes a command that was not applied before. This node leads.
func (f *Fleet) executeCommand(c *pendingCommand) {
	state := f.voter.machine.State()
	if query := c.Query; query != nil {
		strict := f.settings.strict(query.Tenant) && !f.leadership.anyDiffersInStrict()
		progress := f.leadership.rollout.Progress(f.now, cmp.Or(query.Version, state.Contracts.Version), strict)
		failpoint.Pass(failpoint.ReportProgress)
		f.completeCommand(c, commandOutcome{progress: &progress})
		return
	}
	if applied, found := state.FindApplied(c.Command.ID); found {
		f.completeCommand(c, commandOutcome{result: Result{applied.Index, applied.Failure}})
		return
	}
	f.recoverPanic(func() {
		if err := f.voter.machine.Propose(&c.Command); err != nil {
			f.logger.Info("fleet command not proposed", zap.Error(err))
		}
	})
}

// commandCommitted completes the commands that were committed and applied. A leader answers them.
func (f *Fleet) commandCommitted(applied consensus.AppliedCommand) {
	for _, c := range f.commands.all() {
		if c.Query == nil && c.Command.ID == applied.ID && f.voter.machine.Leads() {
			f.completeCommand(c, commandOutcome{result: Result{applied.Index, applied.Failure}})
		}
	}
}

func (f *Fleet) completeCommand(c *pendingCommand, outcome commandOutcome) {
	f.commands.remove(c)
	if c.ours() {
		c.reply <- outcome
		return
	}
	f.send(c.from, messageCommandResponse, commandResponse{c.Number, outcome.result, outcome.progress})
}

// receiveCommand takes a command that another node forwarded. Where it is not accepted the sender tries again.
func (f *Fleet) receiveCommand(from membership.Name, request *commandRequest) {
	if !f.isConfirmedLeader() || f.commands.full() || f.commands.has(from, request.Number) {
		return
	}
	c := &pendingCommand{commandRequest: *request, from: from, deadline: f.now + commandTimeout, retryAt: f.now}
	f.commands.add(c)
	f.attemptCommand(c)
}

func (f *Fleet) receiveCommandResponse(_ membership.Name, response *commandResponse) {
	for _, c := range f.commands.all() {
		if c.ours() && c.Number == response.Number {
			f.completeCommand(c, commandOutcome{result: response.Result, progress: response.Progress})
		}
	}
}

// retryCommands attempts commands again, and gives up those whose deadline has passed.
func (f *Fleet) retryCommands() {
	for _, c := range f.commands.all() {
		switch {
		case f.now >= c.deadline && c.ours():
			f.completeCommand(c, commandOutcome{err: ErrNoLeader})
		case f.now >= c.deadline:
			f.commands.remove(c)
		case f.now >= c.retryAt:
			f.attemptCommand(c)
		}
	}
}

// proposeFileTablesIfDue proposes the tables of our operator's file: those that are newer there are applied.
func (f *Fleet) proposeFileTablesIfDue() {
	file := f.settings.FileTables
	if f.now < f.due.fileTables || file.ContractsVersion == 0 && file.QuotasVersion == 0 {
		return
	}
	f.due.fileTables = math.Inf(1)
	id := consensus.CommandID(fmt.Sprintf("file %d %d", file.ContractsVersion, file.QuotasVersion))
	command := consensus.Command{ID: id, Author: string(f.settings.Self), Reason: "operator's file", File: &file}
	c := &pendingCommand{commandRequest: commandRequest{Command: command}, reply: make(chan commandOutcome, 1)}
	f.enqueueCommand(c)
	go func() {
		select {
		case outcome := <-c.reply:
			f.events.Put(event{kind: fileTablesDecided, err: outcome.err, result: outcome.result})
		case <-f.stopped:
		}
	}()
}

func (f *Fleet) fileTablesDecided(result Result, err error) {
	switch {
	case err != nil:
		f.due.fileTables = f.now + commandRetryInterval
	case result.Failure != "":
		f.logger.Warn("fleet file tables rejected", zap.String("reason", result.Failure))
	default:
		f.logger.Info("fleet file tables accepted", zap.Uint64("version", result.Version))
	}
}

// rejectCommands ends our commands that wait with a RefusedError, and forgets the others.
func (f *Fleet) rejectCommands(reason string) {
	for _, c := range f.commands.pending {
		if c.ours() {
			c.reply <- commandOutcome{err: RefusedError(reason)}
		}
	}
	f.commands.pending = nil
}
