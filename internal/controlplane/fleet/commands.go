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

// Result is the outcome of a command: the index at which it was applied, and the reason if it was rejected.
type Result struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`                   // index of the command, the new version of the tables that it changed
	Failure string `cbor:"2,keyasint,omitempty" json:"wrong,omitempty"` // reason of a full or partial rejection; "" if the command was applied
}

// Errors that operators see.
var (
	// ErrNoLeader reports that no confirmed leader answered a command before its deadline.
	ErrNoLeader = errors.New("no mixer that leads the council answers: a majority of voters has to reach each other; the command may still act, and sending it again with its id does no harm")
	errStopping = errors.New("the mixer stops")
	errNotOpen  = errors.New("the fleet's address or directory is not open yet")
)

const (
	// commandTimeout is the time, in seconds, that a command may wait for its outcome.
	commandTimeout = 10.0
	// commandRetryInterval is the time, in seconds, after which a pending command is sent again: the request or its response may
	// be lost.
	commandRetryInterval = 0.5
	// maxPendingCommands allows one command for each connection of an operator, and the commands that other nodes forward.
	maxPendingCommands = 64
)

// pendingCommand is a command, or a progress query about one, that waits for its outcome. It was submitted at this node, or
// forwarded by another one.
type pendingCommand struct {
	commandRequest
	reply    chan commandOutcome // buffers one outcome; set for a local command
	from     membership.Name     // the node that forwarded the command; "" for a local command
	deadline float64
	retryAt  float64
}

// isLocal reports whether the command was submitted at this node.
func (c *pendingCommand) isLocal() bool { return c.from == "" }

// commandOutcome is the outcome of a command or of a progress query.
type commandOutcome struct {
	result   Result
	progress *residency.Progress
	err      error
}

// commandQueue holds the commands that wait for their outcome.
type commandQueue struct{ pending []*pendingCommand }

func (q *commandQueue) full() bool { return len(q.pending) >= maxPendingCommands }

func (q *commandQueue) add(c *pendingCommand) { q.pending = append(q.pending, c) }

func (q *commandQueue) remove(c *pendingCommand) {
	q.pending = slices.DeleteFunc(q.pending, func(other *pendingCommand) bool { return other == c })
}

// contains reports whether a node's command with that number is pending.
func (q *commandQueue) contains(from membership.Name, number uint64) bool {
	return slices.ContainsFunc(q.pending, func(c *pendingCommand) bool { return c.from == from && c.Number == number })
}

// all returns a copy of the queue, so that the caller may remove commands while it iterates.
func (q *commandQueue) all() []*pendingCommand { return slices.Clone(q.pending) }

// SubmitCommand proposes a command and waits until it is applied or rejected, for at most 10 s (commandTimeout). Result.Failure is
// empty if the command was applied. The error is ErrNoLeader if no leader answered in that time: the command may still be applied
// later. It is safe to submit the command again under the same CommandID.
func (f *Fleet) SubmitCommand(c consensus.Command) (Result, error) {
	outcome := f.submitRequest(commandRequest{Command: c})
	return outcome.result, outcome.err
}

// Progress asks the leader how many nodes apply a version of the contracts to one tenant. Version 0 selects the current version.
// It returns the same errors as SubmitCommand.
func (f *Fleet) Progress(version residency.Version, tenant quota.Tenant) (residency.Progress, error) {
	outcome := f.submitRequest(commandRequest{Query: &progressQuery{version, tenant}})
	if outcome.err != nil || outcome.progress == nil {
		return residency.Progress{}, cmp.Or(outcome.err, ErrNoLeader)
	}
	return *outcome.progress, nil
}

func (f *Fleet) submitRequest(request commandRequest) commandOutcome {
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
			return newValidationError("tenant %q is none that the settings know, expected one of %q", c.Quota.Tenant, f.settings.Names.Tenants)
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
		c.Number, c.deadline, c.retryAt = f.granterClient.nextNumber(), f.now+commandTimeout, f.now
		f.commands.add(c)
		f.attemptCommand(c)
	}
}

// attemptCommand executes a command if this node is the confirmed leader. Otherwise it forwards a local command to the leader.
func (f *Fleet) attemptCommand(c *pendingCommand) {
	c.retryAt = f.now + commandRetryInterval
	switch leader := f.currentGranter(); {
	case f.isConfirmedLeader():
		f.executeCommand(c)
	case c.isLocal() && leader != f.settings.Self:
		for range failpoint.Pass(failpoint.ForwardCommand).Copies() {
			f.send(leader, messageCommandRequest, c.commandRequest)
		}
	}
}

// executeCommand answers a progress query, or proposes a command that was not applied before. It must be called only on the
// confirmed leader.
func (f *Fleet) executeCommand(c *pendingCommand) {
	state := f.voter.machine.State()
	if query := c.Query; query != nil {
		strict := f.settings.isStrict(query.Tenant) && !f.leadership.anyStrictMismatch()
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

// commandCommitted completes the pending commands that have the ID of a command that was committed and applied. Only the leader
// completes them here: another node waits for the leader's response.
func (f *Fleet) commandCommitted(applied consensus.AppliedCommand) {
	for _, c := range f.commands.all() {
		if c.Query == nil && c.Command.ID == applied.ID && f.voter.machine.Leads() {
			f.completeCommand(c, commandOutcome{result: Result{applied.Index, applied.Failure}})
		}
	}
}

func (f *Fleet) completeCommand(c *pendingCommand, outcome commandOutcome) {
	f.commands.remove(c)
	if c.isLocal() {
		c.reply <- outcome
		return
	}
	f.send(c.from, messageCommandResponse, commandResponse{c.Number, outcome.result, outcome.progress})
}

// receiveCommand queues and attempts a command that another node forwarded. It drops the command if this node is not the
// confirmed leader, if the queue is full, or if the command is pending already. The sender retries.
func (f *Fleet) receiveCommand(from membership.Name, request *commandRequest) {
	if !f.isConfirmedLeader() || f.commands.full() || f.commands.contains(from, request.Number) {
		return
	}
	c := &pendingCommand{commandRequest: *request, from: from, deadline: f.now + commandTimeout, retryAt: f.now}
	f.commands.add(c)
	f.attemptCommand(c)
}

func (f *Fleet) receiveCommandResponse(_ membership.Name, response *commandResponse) {
	for _, c := range f.commands.all() {
		if c.isLocal() && c.Number == response.Number {
			f.completeCommand(c, commandOutcome{result: response.Result, progress: response.Progress})
		}
	}
}

// retryCommands attempts the commands whose retry is due, and removes those whose deadline has passed.
func (f *Fleet) retryCommands() {
	for _, c := range f.commands.all() {
		switch {
		case f.now >= c.deadline && c.isLocal():
			f.completeCommand(c, commandOutcome{err: ErrNoLeader})
		case f.now >= c.deadline:
			f.commands.remove(c)
		case f.now >= c.retryAt:
			f.attemptCommand(c)
		}
	}
}

// proposeFileTablesIfDue proposes the tables of this node's operator file. The voters apply those tables of the file that are
// newer than the ones last applied from a file.
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

// rejectCommands completes the pending local commands with a RefusedError, and drops the forwarded ones.
func (f *Fleet) rejectCommands(reason string) {
	for _, c := range f.commands.pending {
		if c.isLocal() {
			c.reply <- commandOutcome{err: RefusedError(reason)}
		}
	}
	f.commands.pending = nil
}
