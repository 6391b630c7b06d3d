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

// Result is what became of a command.
type Result struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`                   // of the table that it made
	Failure string `cbor:"2,keyasint,omitempty" json:"wrong,omitempty"` // why it changed nothing
}

// Errors that an operator sees.
var (
	ErrNoLeader = errors.New("no mixer that leads the council answers: a majority of voters has to reach each other; the command may still act, and sending it again with its id does no harm")
	errStopping = errors.New("the mixer stops")
	errNotOpen  = errors.New("the fleet's address or directory is not open yet")
)

const (
	// commandRetryInterval is how often a command is sent anew where its answer may be lost.
	commandRetryInterval = 0.5
	maxPendingCommands   = 64 // as many as operators have connections, and those of other nodes
)

// command is one on its way, ours or another node's.
type pendingCommand struct {
	commandRequest
	reply    chan commandOutcome // ours
	from     membership.Name     // another's
	deadline float64
	retryAt  float64
}

// answer is what a command or question comes to.
type commandOutcome struct {
	result   Result
	progress *residency.Progress
	err      error
}

// Do gives a command to the consensus. An answer without an error says that it acted, or why it changed nothing.
func (f *Fleet) Do(c consensus.Command) (Result, error) {
	a := f.doCommand(commandRequest{Command: c})
	return a.result, a.err
}

// Progress asks the leader how far a version of the contracts got, for one tenant.
func (f *Fleet) Progress(version residency.Version, tenant quota.Tenant) (residency.Progress, error) {
	a := f.doCommand(commandRequest{Query: &progressQuery{version, tenant}})
	if a.err != nil || a.progress == nil {
		return residency.Progress{}, cmp.Or(a.err, ErrNoLeader)
	}
	return *a.progress, nil
}

func (f *Fleet) doCommand(h commandRequest) commandOutcome {
	c := &pendingCommand{commandRequest: h, reply: make(chan commandOutcome, 1)}
	f.events.Put(event{kind: commandSubmitted, command: c})
	select {
	case a := <-c.reply:
		return a
	case <-f.stopped:
		return commandOutcome{err: errStopping}
	}
}

// validateCommand tells what is wrong with a command, by what this node's settings know.
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
	case len(f.pendingCommands) >= maxPendingCommands:
		c.reply <- commandOutcome{err: errTooManyCommands}
	default:
		f.requestNumber++
		c.Number, c.deadline, c.retryAt = f.requestNumber, f.now+commandTimeout, f.now
		f.pendingCommands = append(f.pendingCommands, c)
		f.attemptCommand(c)
	}
}

// attemptCommand gives a command to the consensus where we lead, and to who leads where we do not.
func (f *Fleet) attemptCommand(c *pendingCommand) {
	c.retryAt = f.now + commandRetryInterval
	switch to := f.currentGranter(); {
	case f.isConfirmedLeader():
		f.executeCommand(c)
	case c.from == "" && to != f.settings.Self:
		for range failpoint.Pass(failpoint.ForwardCommand).Times() {
			f.send(to, messageCommandRequest, c.commandRequest)
		}
	}
}

// executeCommand acts on a command where we lead.
func (f *Fleet) executeCommand(c *pendingCommand) {
	state := f.consensus.State()
	if q := c.Query; q != nil {
		unlike := false
		for _, differs := range f.differsInStrict {
			unlike = unlike || differs
		}
		p := f.rollout.Progress(f.now, cmp.Or(q.Version, state.Contracts.Version), f.settings.strict(q.Tenant) && !unlike)
		failpoint.Pass(failpoint.ReportProgress)
		f.completeCommand(c, commandOutcome{progress: &p})
		return
	}
	if d, acted := state.FindApplied(c.Command.ID); acted {
		f.completeCommand(c, commandOutcome{result: Result{d.Index, d.Failure}})
		return
	}
	f.recoverPanic(func() {
		if err := f.consensus.Propose(&c.Command); err != nil {
			f.logger.Info("fleet: command not taken yet", zap.String("text", err.Error()))
		}
	})
}

// commandCommitted hears that the consensus has agreed on a command.
func (f *Fleet) commandCommitted(d consensus.AppliedCommand) {
	for _, c := range slices.Clone(f.pendingCommands) {
		if c.Query == nil && c.Command.ID == d.ID && f.consensus.Leads() {
			f.completeCommand(c, commandOutcome{result: Result{d.Index, d.Failure}})
		}
	}
}

func (f *Fleet) completeCommand(c *pendingCommand, a commandOutcome) {
	f.pendingCommands = slices.DeleteFunc(f.pendingCommands, func(o *pendingCommand) bool { return o == c })
	if c.from == "" {
		c.reply <- a
		return
	}
	f.send(c.from, messageCommandResponse, commandResponse{c.Number, a.result, a.progress})
}

// handed takes another node's command.
func (f *Fleet) receiveCommand(from membership.Name, h *commandRequest) {
	if !f.isConfirmedLeader() || len(f.pendingCommands) >= maxPendingCommands {
		return // it asks again
	}
	for _, c := range f.pendingCommands {
		if c.from == from && c.Number == h.Number {
			return
		}
	}
	c := &pendingCommand{commandRequest: *h, from: from, deadline: f.now + commandTimeout, retryAt: f.now}
	f.pendingCommands = append(f.pendingCommands, c)
	f.attemptCommand(c)
}

func (f *Fleet) receiveCommandResponse(_ membership.Name, h *commandResponse) {
	for _, c := range slices.Clone(f.pendingCommands) {
		if c.from == "" && c.Number == h.Number {
			f.completeCommand(c, commandOutcome{result: h.Result, progress: h.Progress})
		}
	}
}

// retryCommands tries commands again, gives up those that wait too long, and offers the consensus the tables of our file.
func (f *Fleet) retryCommands() {
	for _, c := range slices.Clone(f.pendingCommands) {
		switch {
		case f.now >= c.deadline && c.from == "":
			f.completeCommand(c, commandOutcome{err: ErrNoLeader})
		case f.now >= c.deadline:
			f.pendingCommands = slices.DeleteFunc(f.pendingCommands, func(o *pendingCommand) bool { return o == c })
		case f.now >= c.retryAt:
			f.attemptCommand(c)
		}
	}
	file := &f.settings.FileTables
	if f.now < f.due.file || file.ContractsVersion == 0 && file.QuotasVersion == 0 {
		return
	}
	f.due.file = math.Inf(1)
	f.proposeFileTables()
}

// proposeFileTables gives the tables of our file to the consensus: what is newer there is taken.
func (f *Fleet) proposeFileTables() {
	file := f.settings.FileTables
	id := consensus.CommandID(fmt.Sprintf("file %d %d", file.ContractsVersion, file.QuotasVersion))
	c := &pendingCommand{commandRequest: commandRequest{Command: consensus.Command{ID: id, Author: string(f.settings.Self), Reason: "operator's file", File: &file}}, reply: make(chan commandOutcome, 1)}
	f.enqueueCommand(c)
	go func() {
		select {
		case a := <-c.reply:
			f.events.Put(event{kind: fileTablesDecided, err: a.err, result: a.result})
		case <-f.stopped:
		}
	}()
}

func (f *Fleet) fileTablesProposed(n *event) {
	switch {
	case n.err != nil:
		f.due.file = f.now + commandRetryInterval
	case n.result.Failure != "":
		f.logger.Warn("fleet: tables of the operator's file not taken, what is held stands", zap.String("text", n.result.Failure))
	default:
		f.logger.Info("fleet: tables of the operator's file are held", zap.Uint64("version", n.result.Version))
	}
}

// rejectCommands ends what waits.
func (f *Fleet) rejectCommands(why string) {
	for _, c := range f.pendingCommands {
		if c.from == "" {
			c.reply <- commandOutcome{err: RefusedError(why)}
		}
	}
	f.pendingCommands = nil
}
