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
	Wrong   string `cbor:"2,keyasint,omitempty" json:"wrong,omitempty"` // why it changed nothing
}

// Errors that an operator sees.
var (
	ErrNobodyLeads = errors.New("no mixer that leads the council answers: a majority of voters has to reach each other; the command may still act, and sending it again with its id does no harm")
	errStops       = errors.New("the mixer stops")
	errNotOpen     = errors.New("the fleet's address or directory is not open yet")
)

const (
	// againEvery is how often a command is sent anew where its answer may be lost.
	againEvery  = 0.5
	mostWaiting = 64 // as many as operators have connections, and those of other nodes
)

// command is one on its way, ours or another node's.
type command struct {
	handed
	reply chan answer     // ours
	from  membership.Name // another's
	until float64
	again float64
}

// answer is what a command or question comes to.
type answer struct {
	result   Result
	progress *residency.Progress
	err      error
}

// Do gives a command to the council. An answer without an error says that it acted, or why it changed nothing.
func (f *Fleet) Do(c consensus.Command) (Result, error) {
	a := f.wait(handed{Command: c})
	return a.result, a.err
}

// Progress asks the leader how far a version of the contracts got, for one tenant.
func (f *Fleet) Progress(version residency.Version, tenant quota.Tenant) (residency.Progress, error) {
	a := f.wait(handed{Query: &query{version, tenant}})
	if a.err != nil || a.progress == nil {
		return residency.Progress{}, cmp.Or(a.err, ErrNobodyLeads)
	}
	return *a.progress, nil
}

func (f *Fleet) wait(h handed) answer {
	c := &command{handed: h, reply: make(chan answer, 1)}
	f.in.Put(note{kind: commanded, command: c})
	select {
	case a := <-c.reply:
		return a
	case <-f.stopped:
		return answer{err: errStops}
	}
}

// check tells what is wrong with a command, by what this node's settings know.
func (f *Fleet) check(c *consensus.Command) error {
	switch {
	case c.Contract != nil && c.Contract.Contract != nil:
		return f.set.Site.Check(c.Contract.Tenant, c.Contract.Contract)
	case c.Quota != nil && c.Quota.Quota != nil:
		if !slices.Contains(f.set.Site.Tenants, string(c.Quota.Tenant)) {
			return invalid("tenant %q is none that the settings know, expected one of %q", c.Quota.Tenant, f.set.Site.Tenants)
		}
		if fault, _ := c.Quota.Quota.Check(len(f.set.Roster.Members)); fault != "" {
			return ValidationError(fault)
		}
	}
	return nil
}

func (f *Fleet) command(c *command) {
	switch err := f.check(&c.Command); {
	case f.members == nil:
		c.reply <- answer{err: errNotOpen}
	case err != nil:
		c.reply <- answer{result: Result{Wrong: err.Error()}}
	case len(f.waiting) >= mostWaiting:
		c.reply <- answer{err: errTooManyCommands}
	default:
		f.askNo++
		c.No, c.until, c.again = f.askNo, f.now+commandWait, f.now
		f.waiting = append(f.waiting, c)
		f.try(c)
	}
}

// try gives a command to the council where we lead, and to who leads where we do not.
func (f *Fleet) try(c *command) {
	c.again = f.now + againEvery
	switch to := f.granterNow(); {
	case f.leads():
		f.lead(c)
	case c.from == "" && to != f.set.Self:
		for range failpoint.Pass(failpoint.ForwardCommand).Times() {
			f.send(to, messageCommand, c.handed)
		}
	}
}

// lead acts on a command where we lead.
func (f *Fleet) lead(c *command) {
	state := f.council.State()
	if q := c.Query; q != nil {
		unlike := false
		for _, differs := range f.unlike {
			unlike = unlike || differs
		}
		p := f.spread.Progress(f.now, cmp.Or(q.Version, state.Contracts.Version), f.set.strict(q.Tenant) && !unlike)
		failpoint.Pass(failpoint.TellHeld)
		f.finish(c, answer{progress: &p})
		return
	}
	if d, acted := state.Acted(c.Command.ID); acted {
		f.finish(c, answer{result: Result{d.Index, d.Wrong}})
		return
	}
	f.safely(func() {
		if err := f.council.Propose(&c.Command); err != nil {
			f.log.Info("fleet: command not taken yet", zap.String("text", err.Error()))
		}
	})
}

// acted hears that the council has agreed on a command.
func (f *Fleet) acted(d consensus.Done) {
	for _, c := range slices.Clone(f.waiting) {
		if c.Query == nil && c.Command.ID == d.ID && f.council.Leads() {
			f.finish(c, answer{result: Result{d.Index, d.Wrong}})
		}
	}
}

func (f *Fleet) finish(c *command, a answer) {
	f.waiting = slices.DeleteFunc(f.waiting, func(o *command) bool { return o == c })
	if c.from == "" {
		c.reply <- a
		return
	}
	f.send(c.from, messageResult, handedBack{c.No, a.result, a.progress})
}

// handed takes another node's command.
func (f *Fleet) handed(from membership.Name, h *handed) {
	if !f.leads() || len(f.waiting) >= mostWaiting {
		return // it asks again
	}
	for _, c := range f.waiting {
		if c.from == from && c.No == h.No {
			return
		}
	}
	c := &command{handed: *h, from: from, until: f.now + commandWait, again: f.now}
	f.waiting = append(f.waiting, c)
	f.try(c)
}

func (f *Fleet) handedBack(_ membership.Name, h *handedBack) {
	for _, c := range slices.Clone(f.waiting) {
		if c.from == "" && c.No == h.No {
			f.finish(c, answer{result: h.Result, progress: h.Progress})
		}
	}
}

// expire tries commands again, gives up those that wait too long, and offers the council the tables of our file.
func (f *Fleet) expire() {
	for _, c := range slices.Clone(f.waiting) {
		switch {
		case f.now >= c.until && c.from == "":
			f.finish(c, answer{err: ErrNobodyLeads})
		case f.now >= c.until:
			f.waiting = slices.DeleteFunc(f.waiting, func(o *command) bool { return o == c })
		case f.now >= c.again:
			f.try(c)
		}
	}
	file := &f.set.File
	if f.now < f.due.file || file.ContractsVersion == 0 && file.QuotasVersion == 0 {
		return
	}
	f.due.file = math.Inf(1)
	f.offer()
}

// offer gives the tables of our file to the council: what is newer there is taken.
func (f *Fleet) offer() {
	file := f.set.File
	id := consensus.CommandID(fmt.Sprintf("file %d %d", file.ContractsVersion, file.QuotasVersion))
	c := &command{handed: handed{Command: consensus.Command{ID: id, Author: string(f.set.Self), Reason: "operator's file", File: &file}}, reply: make(chan answer, 1)}
	f.command(c)
	go func() {
		select {
		case a := <-c.reply:
			f.in.Put(note{kind: offered, err: a.err, result: a.result})
		case <-f.stopped:
		}
	}()
}

func (f *Fleet) offered(n *note) {
	switch {
	case n.err != nil:
		f.due.file = f.now + againEvery
	case n.result.Wrong != "":
		f.log.Warn("fleet: tables of the operator's file not taken, what is held stands", zap.String("text", n.result.Wrong))
	default:
		f.log.Info("fleet: tables of the operator's file are held", zap.Uint64("version", n.result.Version))
	}
}

// refuseAll ends what waits.
func (f *Fleet) refuseAll(why string) {
	for _, c := range f.waiting {
		if c.from == "" {
			c.reply <- answer{err: RefusedError(why)}
		}
	}
	f.waiting = nil
}
