package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestMergeTakesNewestStateAndHighestTerm(t *testing.T) {
	old, newer := map[string][]byte{"a": {1}}, map[string][]byte{"a": {2}}
	Convey("A merged group has the newest state and the highest term", t, func() {
		merged := MergeReplicas([]ReplicaState{
			{9, "first", Position{1, 7}, old}, {3, "second", Position{2, 1}, newer}, {4, "third", Position{1, 9}, old},
		})
		So(merged, ShouldResemble, ReplicaState{9, "", Position{2, 1}, newer})
	})
	Convey("Tables are merged group by group, even if a snapshot lacks a group", t, func() {
		tables := func(promised uint64, candidate string, position Position, state map[string][]byte) map[string]map[string][]byte {
			return map[string]map[string][]byte{
				"group-meta/x": {termKey: encodeTerm(promised), votedForKey: []byte(candidate), positionKey: encodePosition(position)},
				"group/x":      state,
			}
		}
		merged := MergeTables([]map[string]map[string][]byte{
			tables(9, "first", Position{1, 7}, old), {}, tables(3, "second", Position{2, 1}, newer),
			{"group-meta/y": {termKey: encodeTerm(5), votedForKey: []byte("third")}},
		})
		So(merged, ShouldResemble, map[string]map[string][]byte{
			"group-meta/x": {termKey: encodeTerm(9), votedForKey: []byte(""), positionKey: encodePosition(Position{2, 1})},
			"group/x":      newer,
			"group-meta/y": {termKey: encodeTerm(5), votedForKey: []byte(""), positionKey: encodePosition(Position{})},
		})
	})
}

func TestDeletionAndEmptyValueStayDistinctWhenEncoded(t *testing.T) {
	Convey("A deletion and an empty value are decoded as they were encoded", t, func() {
		body, err := msgpack.Marshal([]Entry{{"a", nil}, {"b", []byte{}}})
		So(err, ShouldBeNil)
		var entries []Entry
		So(msgpack.Unmarshal(body, &entries), ShouldBeNil)
		So(entries[0].Value == nil, ShouldBeTrue)
		So(entries[1].Value != nil, ShouldBeTrue)
		So(len(entries[1].Value), ShouldEqual, 0)
	})
}

func TestHistoryMergesBatchesAfterPosition(t *testing.T) {
	Convey("Given four batches", t, func() {
		h := history{limits: DefaultLimits}
		for sequence := range uint64(4) {
			key := string(rune('a' + sequence%2))
			h.add(newBatch(Position{1, sequence}, Position{1, sequence + 1}, map[string][]byte{key: {byte(sequence)}}))
		}
		Convey("the batches after a position are merged into one, in which later values win", func() {
			merged, found := h.after(Position{1, 1})
			So(found, ShouldBeTrue)
			So(merged.previous, ShouldResemble, Position{1, 1})
			So(merged.position, ShouldResemble, Position{1, 4})
			values := map[string][]byte{}
			for _, entry := range merged.entries {
				values[entry.Key] = entry.Value
			}
			So(values, ShouldResemble, map[string][]byte{"a": {2}, "b": {3}})
		})
		Convey("a position of another term is not found", func() {
			_, found := h.after(Position{2, 1})
			So(found, ShouldBeFalse)
		})
		Convey("batches that all replicas have are discarded, except for the newest", func() {
			h.discardThrough(9)
			_, found := h.after(Position{1, 2})
			So(found, ShouldBeFalse)
			_, found = h.after(Position{1, 3})
			So(found, ShouldBeTrue)
		})
	})
}

func TestRendezvousOrderIgnoresAddressOrder(t *testing.T) {
	Convey("The order does not depend on the order of the addresses, and differs between groups", t, func() {
		addresses, rotated := []string{"a", "b", "c"}, []string{"c", "a", "b"}
		firsts := map[string]bool{}
		for _, group := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"} {
			order := rendezvousOrder(addresses, group)
			So(rendezvousOrder(rotated, group), ShouldResemble, order)
			firsts[order[0]] = true
		}
		So(len(firsts), ShouldEqual, 3)
	})
}
