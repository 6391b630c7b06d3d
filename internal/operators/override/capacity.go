package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// capacity checks what an out or a weight leaves of the shards and locations that it concerns. It returns the worst
// refusal of each code, the gravest code first.
func (t *Table) capacity(o *Override) (list []*Refusal) {
	check := capacityCheck{table: t, proposed: o, concerned: t.concernedMembers(o), worst: map[Code]capacityLoss{}}
	firstShards, locations := map[policy.ShardID]bool{}, map[string]bool{}
	for _, target := range check.concerned {
		locations[target.Location] = true
		for j := range min(t.limits.Width, t.limits.Cells) { // shards that begin at these cells
			firstShards[policy.ShardID(((int(target.Cell)-j)%t.limits.Cells+t.limits.Cells)%t.limits.Cells)] = true
		}
	}
	for number := range t.limits.Indexes {
		index := policy.IndexID(number)
		if !t.covers(o, index) {
			continue
		}
		for shard := range firstShards {
			if int(shard) < t.limits.Shards { // else no shard begins there
				check.shard(shard, index)
			}
		}
		for name := range locations {
			check.location(name, index)
		}
	}
	for _, code := range []Code{LastReplica, ShardCapacity, LocationCapacity} {
		if loss, found := check.worst[code]; found {
			list = append(list, &Refusal{code, loss.text})
		}
	}
	return list
}

// concernedMembers are the backends, by name, that an override of a backend or a location concerns.
func (t *Table) concernedMembers(o *Override) map[string]*member {
	if o.Backend != "" {
		return map[string]*member{o.Backend: t.members[o.Backend]}
	}
	concerned := map[string]*member{}
	for name, m := range t.locations[o.Location].members {
		concerned[name] = m
	}
	return concerned
}

// capacityCheck finds the largest loss of capacity, by code, that a proposed override would bring about.
type capacityCheck struct {
	table     *Table
	proposed  *Override
	concerned map[string]*member
	worst     map[Code]capacityLoss
}

// capacityLoss is the share of a shard's or a location's capacity that would be lost, and the text of its refusal.
type capacityLoss struct {
	share float64
	text  string
}

// shard checks the replicas of one shard of an index.
func (c *capacityCheck) shard(shard policy.ShardID, index policy.IndexID) {
	var sum tally
	c.table.forEachReplica(shard, func(m *member) { c.add(&sum, m, index) })
	if sum.servingBefore > 0 && sum.servingAfter == 0 {
		c.worst[LastReplica] = capacityLoss{1, fmt.Sprintf("nobody who serves would be left for shard %d of index %q",
			shard, c.table.limits.Indexes[index])}
	}
	c.record(&sum, ShardCapacity, c.table.limits.MaxShardLoss, index, "shard", shard)
}

// location checks the backends of one location for an index.
func (c *capacityCheck) location(name string, index policy.IndexID) {
	var sum tally
	for _, m := range c.table.locations[name].members {
		c.add(&sum, m, index)
	}
	c.record(&sum, LocationCapacity, c.table.limits.MaxLocationLoss, index, "location", name)
}

// add sums a backend that serves, with its share of an index before the proposed override and after it.
func (c *capacityCheck) add(sum *tally, m *member, index policy.IndexID) {
	if m.Phase != policy.Ready {
		return
	}
	before, _ := c.table.target(m, index, nil)
	after := before
	if c.concerned[m.Name] != nil {
		after, _ = c.table.target(m, index, c.proposed)
	}
	sum.add(size(m), before, after)
}

// record notes a loss over the limit, if the proposed override adds to it and no larger one of its code is known.
func (c *capacityCheck) record(sum *tally, code Code, limit float64, index policy.IndexID, what string, id any) {
	if lost := sum.lostShare(); sum.worse && lost > limit+1e-9 && lost > c.worst[code].share {
		c.worst[code] = capacityLoss{lost, fmt.Sprintf("%.0f%% of %s %v for index %q would be gone by overrides, at most %.0f%% may be",
			100*lost, what, id, c.table.limits.Indexes[index], 100*limit)}
	}
}

// tally sums the capacity of some backends that serve.
type tally struct {
	all, retained               float64
	servingBefore, servingAfter int // backends that take anything before, and after
	worse                       bool
}

func (t *tally) add(size, before, after float64) {
	t.all += size
	t.retained += size * after
	t.worse = t.worse || after < before
	if before > 0 {
		t.servingBefore++
	}
	if after > 0 {
		t.servingAfter++
	}
}

// lostShare is the share of the capacity that overrides take, 0 to 1.
func (t *tally) lostShare() float64 {
	if t.all == 0 {
		return 0
	}
	return 1 - t.retained/t.all
}

// size is a backend's capacity against others'.
func size(m *member) float64 {
	if m.Share > 0 {
		return m.Share
	}
	return 1
}
