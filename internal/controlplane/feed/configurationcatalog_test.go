package feed

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// testConfiguration returns a configuration of some kilobytes. Versions differ in their first line and in one later line.
func testConfiguration(version uint64) []byte {
	text := fmt.Appendf(nil, "version %d\n", version)
	for line := range uint64(2000) {
		if line == 1000 {
			text = fmt.Appendf(text, "changed by %d\n", version)
		}
		text = fmt.Appendf(text, "line %d of the configuration\n", line*line*7919)
	}
	return text
}

// assembleOffer adds the chunks of offer to those of the configuration known, which the reader has.
func assembleOffer(offer *Offer, known []byte) *chunks.Assembler {
	held := make(map[chunks.Sum][]byte)
	for _, chunk := range chunks.Split(known) {
		held[chunks.SumOf(chunk)] = chunk
	}
	assembler, err := chunks.NewAssembler(offer.Manifest, func(sum chunks.Sum) ([]byte, bool) {
		chunk, found := held[sum]
		return chunk, found
	})
	So(err, ShouldBeNil)
	for _, packed := range offer.Chunks {
		chunk, err := chunks.Unpack(packed)
		So(err, ShouldBeNil)
		assembler.Add(chunk)
	}
	return assembler
}

func TestCatalogOffersMissingChunks(t *testing.T) {
	Convey("Given a catalog with some versions", t, func() {
		var catalog ConfigurationCatalog
		for version := uint64(1); version <= maxPreviousVersions+5; version++ {
			catalog.Publish(version, testConfiguration(version))
		}
		newest := testConfiguration(maxPreviousVersions + 5)

		Convey("a reader of a recent version gets only the chunks that differ, and needs no others", func() {
			version, offer := catalog.Offer(maxPreviousVersions, 64<<10)
			So(version, ShouldEqual, maxPreviousVersions+5)
			So(len(offer.Chunks), ShouldBeLessThanOrEqualTo, 4)
			content, err := assembleOffer(offer, testConfiguration(maxPreviousVersions)).Content()
			So(err, ShouldBeNil)
			So(bytes.Equal(content, newest), ShouldBeTrue)
		})
		Convey("a reader of a version that is no longer kept gets only the manifest", func() {
			_, offer := catalog.Offer(2, 64<<10)
			So(offer.Chunks, ShouldBeEmpty)
			So(offer.Manifest.Bytes, ShouldEqual, len(newest))
		})
		Convey("a reader without a version gets chunks up to its byte limit", func() {
			_, offer := catalog.Offer(0, 4<<10)
			total := 0
			for _, packed := range offer.Chunks {
				total += len(packed)
			}
			So(total, ShouldBeBetween, 1<<10, 4<<10+1)
		})
		Convey("chunks are returned by checksum: at least one regardless of the limit, and none that only older versions have", func() {
			_, offer := catalog.Offer(2, 0)
			sums := offer.Manifest.Sums()
			So(len(catalog.Chunks(sums, 0)), ShouldEqual, 1)
			So(len(catalog.Chunks(sums, 1<<20)), ShouldEqual, len(sums))
			So(catalog.Chunks([]chunks.Sum{{1}}, 1<<20), ShouldBeEmpty)
			old := chunks.SumOf(chunks.Split(testConfiguration(1))[0])
			So(catalog.Chunks([]chunks.Sum{old}, 1<<20), ShouldBeEmpty)
		})
		Convey("an older version is not published", func() {
			catalog.Publish(3, testConfiguration(3))
			version, _ := catalog.Offer(2, 0)
			So(version, ShouldEqual, maxPreviousVersions+5)
		})
	})
}

func TestConfigurationsAreOfferedByChunks(t *testing.T) {
	Convey("Given a store with a configuration", t, func() {
		store := NewSnapshotStore()
		store.MergeWithMembers(&Snapshot{ConfigurationVersion: 5, Configuration: testConfiguration(5), Coordinators: []string{"a:1"}})
		update, _ := store.UpdateSince(Digest{})
		Convey("a reader that accepts chunks gets an offer with chunks", func() {
			offered := store.AsOffer(update, Digest{}, 1<<20)
			So(offered.Configuration, ShouldBeEmpty)
			So(offered.ConfigurationVersion, ShouldEqual, 5)
			So(offered.Coordinators, ShouldResemble, []string{"a:1"})
			content, err := assembleOffer(offered.Offer, nil).Content()
			So(err, ShouldBeNil)
			So(bytes.Equal(content, testConfiguration(5)), ShouldBeTrue)
			So(update.Configuration, ShouldNotBeEmpty)
		})
		Convey("a reader that accepts no chunks (an older build) gets the complete configuration", func() {
			So(store.AsOffer(update, Digest{}, 0), ShouldEqual, update)
		})
		Convey("a reader that has the configuration gets no offer", func() {
			known := Digest{ConfigurationVersion: 5}
			members, _ := store.UpdateSince(known)
			So(store.AsOffer(members, known, 1<<20).Offer, ShouldBeNil)
			So(store.AsOffer(nil, known, 1<<20), ShouldBeNil)
		})
		Convey("known members are not sent again", func() {
			known := Digest{MembersSum: store.Digest().MembersSum}
			update, _ := store.UpdateSince(known)
			So(update.Coordinators, ShouldBeEmpty)
			So(update.Configuration, ShouldNotBeEmpty)
		})
	})
}
