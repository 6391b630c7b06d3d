package chunks

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// configurationBody returns the JSON text of a configuration with count routes.
func configurationBody(count int, version int) []byte {
	random := rand.New(rand.NewPCG(7, 7))
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range count {
		text = fmt.Appendf(text, `{"name":"r-%x","host":"%x.example","pathPrefix":"/%x/","kind":"non_idempotent",`+
			`"timeoutMs":%d,"targetLatencyMs":1000,"priority":1,"service":"huvo11a","maxAttempts":3,"extension":2.2},`,
			random.Uint32(), random.Uint32(), random.Uint32(), 3000+i%7)
	}
	return append(text, `]}`...)
}

func manifestOf(content []byte) Manifest { return NewManifest(content, Split(content)) }

func TestContentIsAssembledFromChunksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := configurationBody(rapid.IntRange(0, 300).Draw(t, "routes"), 1)
		content = append(content, rapid.SliceOfN(rapid.Byte(), 0, 20000).Draw(t, "bytes")...)
		split := Split(content)
		for i, chunk := range split {
			last := i == len(split)-1
			if len(chunk) > maxChunkBytes || len(chunk) < minChunkBytes && !last {
				t.Fatalf("chunk %d of %d has %d bytes", i, len(split), len(chunk))
			}
		}
		assembler, err := NewAssembler(NewManifest(content, split))
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range rapid.Permutation(indexesBelow(len(split))).Draw(t, "order") {
			assembler.Add(split[i])
			assembler.Add(split[i])
		}
		assembled, err := assembler.Content()
		if err != nil || !bytes.Equal(assembled, content) {
			t.Fatalf("assembled %d of %d bytes, error %v", len(assembled), len(content), err)
		}
	})
}

func indexesBelow(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestSmallEditChangesFewChunks(t *testing.T) {
	Convey("Given large content and an edited version of it", t, func() {
		before := configurationBody(1830, 41)
		after := bytes.Replace(configurationBody(1830, 42), []byte(`"timeoutMs":3004`), []byte(`"timeoutMs":35000`), 1)
		known := make(map[Sum][]byte)
		for _, chunk := range Split(before) {
			known[SumOf(chunk)] = chunk
		}
		assembler, err := NewAssembler(manifestOf(after), func(sum Sum) ([]byte, bool) {
			chunk, found := known[sum]
			return chunk, found
		})
		So(err, ShouldBeNil)
		So(assembler.MissingCount(), ShouldBeBetweenOrEqual, 1, 4)
		Convey("the manifest is smaller than 1/80 of the content", func() {
			So(len(manifestOf(after).Chunks), ShouldBeLessThan, len(after)/80)
		})
		Convey("the packed chunks are smaller than a third of the content", func() {
			packedBytes := 0
			for _, chunk := range Split(after) {
				packedBytes += len(Pack(chunk))
			}
			So(packedBytes, ShouldBeLessThan, len(after)/3)
		})
	})
}

func TestWrongChunksAndManifestsAreRejected(t *testing.T) {
	Convey("Given an assembler without any chunk", t, func() {
		content := configurationBody(100, 3)
		split := Split(content)
		assembler, err := NewAssembler(manifestOf(content))
		So(err, ShouldBeNil)

		Convey("a chunk of other content is ignored", func() {
			So(assembler.Add([]byte("other")), ShouldBeFalse)
			So(assembler.MissingCount(), ShouldEqual, len(split))
		})
		Convey("a modified chunk is ignored", func() {
			changed := bytes.Clone(split[0])
			changed[10]++
			So(assembler.Add(changed), ShouldBeFalse)
		})
		Convey("a chunk is added only once", func() {
			So(assembler.Add(split[0]), ShouldBeTrue)
			So(assembler.Add(split[0]), ShouldBeFalse)
			So(assembler.MissingCount(), ShouldEqual, len(split)-1)
		})
		Convey("incomplete content is an error", func() {
			_, err := assembler.Content()
			So(err, ShouldWrap, ErrContent)
		})
		Convey("missing chunks are listed in order, up to the limit", func() {
			assembler.Add(split[0])
			So(assembler.Missing(2), ShouldResemble, []Sum{SumOf(split[1]), SumOf(split[2])})
		})
	})
	Convey("Chunks that do not form the content of the manifest are rejected", t, func() {
		content := configurationBody(20, 3)
		manifest := manifestOf(content)
		manifest.Sum[0]++
		assembler, err := NewAssembler(manifest)
		So(err, ShouldBeNil)
		for _, chunk := range Split(content) {
			assembler.Add(chunk)
		}
		_, err = assembler.Content()
		So(err, ShouldWrap, ErrContent)
		manifest = manifestOf(content)
		manifest.Bytes++
		assembler, _ = NewAssembler(manifest)
		for _, chunk := range Split(content) {
			assembler.Add(chunk)
		}
		_, err = assembler.Content()
		So(err, ShouldWrap, ErrContent)
	})
	Convey("Malformed manifests are rejected", t, func() {
		for _, manifest := range []Manifest{
			{Bytes: -1}, {Bytes: MaxContentBytes + 1}, {Bytes: 5, Chunks: make([]byte, SumBytes+1)}, {Bytes: 1, Chunks: make([]byte, 2*SumBytes)},
		} {
			_, err := NewAssembler(manifest)
			So(err, ShouldWrap, ErrManifest)
		}
	})
}

func TestUnpackInvertsPack(t *testing.T) {
	Convey("Unpack returns the chunk that was packed", t, func() {
		for _, chunk := range [][]byte{nil, []byte("x"), []byte(strings.Repeat("route", 1000))} {
			unpacked, err := Unpack(Pack(chunk))
			So(err, ShouldBeNil)
			So(bytes.Equal(unpacked, chunk), ShouldBeTrue)
		}
	})
	Convey("Chunks that are too long or truncated are rejected", t, func() {
		_, err := Unpack(Pack(make([]byte, maxChunkBytes+1)))
		So(err, ShouldWrap, ErrPacked)
		packed := Pack(configurationBody(5, 1))
		_, err = Unpack(packed[:len(packed)-3])
		So(err, ShouldWrap, ErrPacked)
	})
	Convey("ParseSums returns the checksums that JoinSums concatenated", t, func() {
		sums := []Sum{SumOf([]byte("a")), SumOf([]byte("b"))}
		So(ParseSums(JoinSums(sums)), ShouldResemble, sums)
		So(ParseSums(append(JoinSums(sums), 1, 2)), ShouldResemble, sums)
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add(Pack([]byte(`{"version":3}`)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		chunk, err := Unpack(packed)
		if err == nil && len(chunk) > maxChunkBytes {
			t.Fatalf("unpacked a chunk of %d bytes", len(chunk))
		}
	})
}

func FuzzManifest(f *testing.F) {
	f.Add(3, []byte("0123456789abcdef"), []byte("abc"))
	f.Fuzz(func(t *testing.T, size int, sums, chunk []byte) {
		assembler, err := NewAssembler(Manifest{Bytes: size, Chunks: sums})
		if err != nil {
			return
		}
		assembler.Add(chunk)
		assembler.Missing(3)
		if content, err := assembler.Content(); err == nil && SumOf(content) != (Sum{}) {
			t.Fatal("the content does not have the checksum of its manifest")
		}
	})
}
