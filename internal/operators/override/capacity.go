package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// checkCapacity checks how much capacity a proposed weight or out-of-service override leaves to each shard and location
// that it affects. It returns at most one refusal for each code, that of the largest loss. The most serious code is first.
func (t *Table) checkCapacity(proposed *Override) (refusals []*Refusal) {
	check := capacityCheck{table: t, proposed: proposed, affected: t.affectedMembers(proposed), worst: map[Code]capacityLoss{}}
	firstShards, locations := map[policy.ShardID]bool{}, map[string]bool{}
	for _, target := range check.affected {
		locations[target.Location] = true
		for offset := range min(t.limits.Width, t.limits.Cells) { // the lowest of the shards that start at this cell; the others have the same replicas
			firstShards[policy.ShardID(((int(target.Cell)-offset)%t.limits.Cells+t.limits.Cells)%t.limits.Cells)] = true
		}
	}
	for indexNumber := range t.limits.Indexes {
		index := policy.IndexID(indexNumber)
		if !t.coversIndex(proposed, index) {
			continue
		}
		for shard := range firstShards {
			if int(shard) < t.limits.Shards { // a layout may have more cells than shards
				check.checkShard(shard, index)
			}
		}
		for name := range locations {
			check.checkLocation(name, index)
		}
	}
	for _, code := range []Code{LastReplica, ShardCapacity, LocationCapacity} {
		if loss, found := check.worst[code]; found {
			refusals = append(refusals, &Refusal{code, loss.text})
		}
	}
	return refusals
}

// affectedMembers returns, by name, the backends that an override of a backend or location affects.
func (t *Table) affectedMembers(o *Override) map[string]*member {
	if o.Backend != "" {
		return map[string]*member{o.Backend: t.members[o.Backend]}
	}
	affected := map[string]*member{}
	for name, m := range t.locations[o.Location].members {
		affected[name] = m
	}
	return affected
}

// capacityCheck finds the largest loss of capacity that a proposed override would cause, by refusal code.
type capacityCheck struct {
	table    *Table
	proposed *Override
	affected map[string]*member
	worst    map[Code]capacityLoss
}

// capacityLoss is the share of a shard's or location's capacity that would be lost, with the text of the refusal.
type capacityLoss struct {
	share float64
	text  string
}

// checkShard checks the capacity that is left to one shard of an index.
func (c *capacityCheck) checkShard(shard policy.ShardID, index policy.IndexID) {
	var tally capacityTally
	c.table.forEachReplica(shard, func(m *member) { c.add(&tally, m, index) })
	if tally.servingBefore > 0 && tally.servingAfter == 0 {
		c.worst[LastReplica] = capacityLoss{1, fmt.Sprintf("nobody who serves would be left for shard %d of index %q",
			shard, c.table.limits.Indexes[index])}
	}
	c.record(&tally, ShardCapacity, c.table.limits.MaxShardLoss, index, "shard", shard)
}

// checkLocation checks the capacity that is left to one location for an index.
func (c *capacityCheck) checkLocation(name string, index policy.IndexID) {
	var tally capacityTally
	for _, m := range c.table.locations[name].members {
		c.add(&tally, m, index)
	}
	c.record(&tally, LocationCapacity, c.table.limits.MaxLocationLoss, index, "location", name)
}

// add adds a backend to the sums, with its weight for an index without and with the proposed override. Backends that are
// not ready are skipped.
func (c *capacityCheck) add(tally *capacityTally, m *member, index policy.IndexID) {
	if m.Phase != policy.Ready {
		return
	}
	before, _ := c.table.targetWeight(m, index, nil)
	after := before
	if c.affected[m.Name] != nil {
		after, _ = c.table.targetWeight(m, index, c.proposed)
	}
	tally.add(relativeCapacity(m), before, after)
}

// record keeps a loss that exceeds the limit, if the proposed override increases the loss and no larger loss with the same
// code was found.
func (c *capacityCheck) record(tally *capacityTally, code Code, limit float64, index policy.IndexID, scope string, scopeID any) {
	if lost := tally.lostShare(); tally.reduced && lost > limit+1e-9 && lost > c.worst[code].share {
		c.worst[code] = capacityLoss{lost, fmt.Sprintf("%.0f%% of %s %v for index %q would be gone by overrides, at most %.0f%% may be",
			100*lost, scope, scopeID, c.table.limits.Indexes[index], 100*limit)}
	}
}

// capacityTally sums the capacity of a group of ready backends.
type capacityTally struct {
	total, retained             float64
	servingBefore, servingAfter int // backends with a weight above 0 without and with the proposed override
	reduced                     bool
}

func (t *capacityTally) add(capacity, before, after float64) {
	t.total += capacity
	t.retained += capacity * after
	t.reduced = t.reduced || after < before
	if before > 0 {
		t.servingBefore++
	}
	if after > 0 {
		t.servingAfter++
	}
}

// lostShare returns the share of the capacity that overrides remove, from 0 to 1.
func (t *capacityTally) lostShare() float64 {
	if t.total == 0 {
		return 0
	}
	return 1 - t.retained/t.total
}

// relativeCapacity returns a backend's capacity relative to the others, 1 if the list does not state it.
func relativeCapacity(m *member) float64 {
	if m.Share > 0 {
		return m.Share
	}
	return 1
}
