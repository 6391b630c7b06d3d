package feed

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// configurationOf is a configuration of some kilobytes; versions differ in their first line and in one later line.
func configurationOf(version uint64) []byte {
	text := fmt.Appendf(nil, "version %d\n", version)
	for line := range uint64(2000) {
		if line == 1000 {
			text = fmt.Appendf(text, "changed by %d\n", version)
		}
		text = fmt.Appendf(text, "line %d of the configuration\n", line*line*7919)
	}
	return text
}

// assembled assembles an offer's chunks and those of a version that the reader has.
func assembled(offer *Offer, known []byte) *chunks.Assembler {
	held := make(map[chunks.Sum][]byte)
	for _, chunk := range chunks.Split(known) {
		held[chunks.SumOf(chunk)] = chunk
	}
	collection, err := chunks.NewAssembler(offer.Manifest, func(sum chunks.Sum) ([]byte, bool) {
		chunk, found := held[sum]
		return chunk, found
	})
	So(err, ShouldBeNil)
	for _, packed := range offer.Chunks {
		chunk, err := chunks.Unpack(packed)
		So(err, ShouldBeNil)
		collection.Add(chunk)
	}
	return collection
}

func TestCatalogOffersMissingChunks(t *testing.T) {
	Convey("Given a catalog with some versions", t, func() {
		var catalog ConfigurationCatalog
		for version := uint64(1); version <= maxPreviousVersions+5; version++ {
			catalog.Publish(version, configurationOf(version))
		}
		newest := configurationOf(maxPreviousVersions + 5)

		Convey("a reader of a recent version gets the chunks that differ, and needs no other", func() {
			version, offer := catalog.Offer(maxPreviousVersions, 64<<10)
			So(version, ShouldEqual, maxPreviousVersions+5)
			So(len(offer.Chunks), ShouldBeLessThanOrEqualTo, 4)
			content, err := assembled(offer, configurationOf(maxPreviousVersions)).Content()
			So(err, ShouldBeNil)
			So(bytes.Equal(content, newest), ShouldBeTrue)
		})
		Convey("a reader of an old version gets the manifest alone", func() {
			_, offer := catalog.Offer(2, 64<<10)
			So(offer.Chunks, ShouldBeEmpty)
			So(offer.Manifest.Bytes, ShouldEqual, len(newest))
		})
		Convey("a reader without a version gets as many chunks as it takes bytes", func() {
			_, offer := catalog.Offer(0, 4<<10)
			sum := 0
			for _, packed := range offer.Chunks {
				sum += len(packed)
			}
			So(sum, ShouldBeBetween, 1<<10, 4<<10+1)
		})
		Convey("chunks are returned by checksum: one even if it is too long, and none of older versions alone", func() {
			_, offer := catalog.Offer(2, 0)
			sums := offer.Manifest.Sums()
			So(len(catalog.Chunks(sums, 0)), ShouldEqual, 1)
			So(len(catalog.Chunks(sums, 1<<20)), ShouldEqual, len(sums))
			So(catalog.Chunks([]chunks.Sum{{1}}, 1<<20), ShouldBeEmpty)
			old := chunks.SumOf(chunks.Split(configurationOf(1))[0])
			So(catalog.Chunks([]chunks.Sum{old}, 1<<20), ShouldBeEmpty)
		})
		Convey("an older version is not published", func() {
			catalog.Publish(3, configurationOf(3))
			version, _ := catalog.Offer(2, 0)
			So(version, ShouldEqual, maxPreviousVersions+5)
		})
	})
}

func TestConfigurationsAreOfferedByChunks(t *testing.T) {
	Convey("Given a store with a configuration", t, func() {
		store := NewSnapshotStore()
		store.MergeWithMembers(&Snapshot{ConfigurationVersion: 5, Configuration: configurationOf(5), Core: []string{"a:1"}})
		update, _ := store.UpdateSince(Digest{})
		Convey("a reader that takes chunks gets it by chunks", func() {
			offered := store.AsOffer(update, Digest{}, 1<<20)
			So(offered.Configuration, ShouldBeEmpty)
			So(offered.ConfigurationVersion, ShouldEqual, 5)
			So(offered.Core, ShouldResemble, []string{"a:1"})
			content, err := assembled(offered.Offer, nil).Content()
			So(err, ShouldBeNil)
			So(bytes.Equal(content, configurationOf(5)), ShouldBeTrue)
			So(update.Configuration, ShouldNotBeEmpty)
		})
		Convey("a reader that takes no chunks, as of an older build, gets it whole", func() {
			So(store.AsOffer(update, Digest{}, 0), ShouldEqual, update)
		})
		Convey("a reader that has it gets no offer", func() {
			known := Digest{ConfigurationVersion: 5}
			members, _ := store.UpdateSince(known)
			So(store.AsOffer(members, known, 1<<20).Offer, ShouldBeNil)
			So(store.AsOffer(nil, known, 1<<20), ShouldBeNil)
		})
		Convey("known members are not sent again", func() {
			known := Digest{MembersSum: store.Digest().MembersSum}
			update, _ := store.UpdateSince(known)
			So(update.Core, ShouldBeEmpty)
			So(update.Configuration, ShouldNotBeEmpty)
		})
	})
}
