package aggregatorstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"os"
)

// The pages are checked here before the library reads them. The library's own check runs on a separate goroutine, where a
// cycle of pages terminates the process, so a corrupt file would prevent an aggregator from starting. The layout is the one
// that bbolt documents (go.etcd.io/bbolt, page.go and node.go). The contents of records are protected by their checksums.
const (
	pageHeaderSize     = 16
	bucketHeaderSize   = 16 // of the value of a bucket element: root page and sequence
	elementSize        = 16
	branchPageFlag     = 0x01
	leafPageFlag       = 0x02
	freelistPageFlag   = 0x10
	bucketLeafFlag     = 0x01
	bboltMagic         = 0xED0CDAED
	bboltLayoutVersion = 2
	metaSize           = 64 // bytes from the magic number to the end of the checksum
	maxDepth           = 32 // levels; far more than a tree of a hundred thousand records has
	freelistNotStored  = ^uint64(0)
)

var byteOrder = binary.NativeEndian

// pageReader reads and checks the pages of one file.
type pageReader struct {
	file      io.ReaderAt
	fileSize  int64
	pageSize  uint64 // in bytes
	pageCount uint64 // according to the meta page
	reached   map[uint64]bool
}

// page is a page together with its overflow pages.
type page struct {
	data         []byte
	flags, count uint16
}

// newPage reads the header of a page, or of the page of an inline bucket.
func newPage(data []byte) page {
	return page{data, byteOrder.Uint16(data[8:]), byteOrder.Uint16(data[10:])}
}

// metaPage holds the fields of a meta page.
type metaPage struct{ pageSize, root, freelist, pageCount, transaction uint64 }

// validatePages checks the pages of a file. An empty or missing file is valid. The error is a corruptError if the pages are
// invalid or inconsistent.
func validatePages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	p := &pageReader{file: f, fileSize: info.Size(), reached: map[uint64]bool{}}
	m, err := p.readMeta()
	if err == nil {
		p.pageSize, p.pageCount = m.pageSize, m.pageCount
		err = p.checkTree(m.root, 0)
	}
	if err == nil {
		err = p.checkFreelist(m.freelist)
	}
	if err != nil {
		return &corruptError{err}
	}
	return nil
}

// readMeta returns the valid meta page with the latest transaction.
func (p *pageReader) readMeta() (latest metaPage, err error) {
	pageSize := uint64(os.Getpagesize())
	for i := range uint64(2) {
		data := make([]byte, pageHeaderSize+metaSize)
		if _, err := p.file.ReadAt(data, int64(i*pageSize)); err != nil {
			return latest, invalidContents("the file ends in meta page %d", i)
		}
		data = data[pageHeaderSize:]
		checksum := fnv.New64a()
		checksum.Write(data[:metaSize-8])
		m := metaPage{uint64(byteOrder.Uint32(data[8:])), byteOrder.Uint64(data[16:]), byteOrder.Uint64(data[32:]), byteOrder.Uint64(data[40:]), byteOrder.Uint64(data[48:])}
		if byteOrder.Uint32(data) != bboltMagic || byteOrder.Uint32(data[4:]) != bboltLayoutVersion || byteOrder.Uint64(data[56:]) != checksum.Sum64() {
			continue
		}
		if m.pageSize != pageSize {
			return latest, invalidContents("the page size is %d bytes, expected %d", m.pageSize, pageSize)
		}
		if latest.pageSize == 0 || m.transaction > latest.transaction {
			latest = m
		}
	}
	if latest.pageSize == 0 {
		return latest, invalidContents("no meta page is valid")
	}
	return latest, nil
}

// readPage reads a page and its overflow pages. It fails if one of them was read before.
func (p *pageReader) readPage(id uint64) (page, error) {
	header := make([]byte, pageHeaderSize)
	if id < 2 || id >= p.pageCount || int64((id+1)*p.pageSize) > p.fileSize {
		return page{}, invalidContents("page %d is out of range, the file has %d pages", id, p.pageCount)
	}
	if _, err := p.file.ReadAt(header, int64(id*p.pageSize)); err != nil {
		return page{}, err
	}
	overflowCount := uint64(byteOrder.Uint32(header[12:]))
	if byteOrder.Uint64(header) != id || overflowCount >= p.pageCount || id+overflowCount >= p.pageCount || int64((id+overflowCount+1)*p.pageSize) > p.fileSize {
		return page{}, invalidContents("page %d has ID %d and %d overflow pages", id, byteOrder.Uint64(header), overflowCount)
	}
	for i := id; i <= id+overflowCount; i++ {
		if p.reached[i] {
			return page{}, invalidContents("page %d is referenced twice", i)
		}
		p.reached[i] = true
	}
	data := make([]byte, (1+overflowCount)*p.pageSize)
	_, err := p.file.ReadAt(data, int64(id*p.pageSize))
	return newPage(data), err
}

// checkTree checks a page and all pages below it.
func (p *pageReader) checkTree(id uint64, depth int) error {
	if depth > maxDepth {
		return invalidContents("page %d is more than %d levels deep", id, maxDepth)
	}
	tree, err := p.readPage(id)
	if err != nil {
		return err
	}
	return p.checkElements(tree, id, depth)
}

// checkElements checks the elements of a page and the pages that they refer to.
func (p *pageReader) checkElements(tree page, id uint64, depth int) error {
	if tree.flags != branchPageFlag && tree.flags != leafPageFlag || tree.flags == branchPageFlag && tree.count == 0 {
		return invalidContents("page %d has flags %#x and %d elements", id, tree.flags, tree.count)
	}
	var previous []byte
	for i := range int(tree.count) {
		offset := pageHeaderSize + i*elementSize
		if offset+elementSize > len(tree.data) {
			return invalidContents("page %d is too small for its %d elements", id, tree.count)
		}
		element := tree.data[offset:]
		var key []byte
		var err error
		if tree.flags == branchPageFlag {
			key, err = slice(tree.data, uint64(offset), uint64(byteOrder.Uint32(element)), uint64(byteOrder.Uint32(element[4:])))
		} else {
			key, err = slice(tree.data, uint64(offset), uint64(byteOrder.Uint32(element[4:])), uint64(byteOrder.Uint32(element[8:])))
		}
		if err != nil || i > 0 && bytes.Compare(previous, key) >= 0 {
			return invalidContents("page %d, element %d: the key is out of order or out of bounds", id, i)
		}
		previous = key
		if tree.flags == branchPageFlag {
			err = p.checkTree(byteOrder.Uint64(element[8:]), depth+1)
		} else {
			err = p.checkLeaf(tree.data, offset, id, i, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLeaf checks the value of a leaf element. If the value is a bucket, it also checks the bucket's pages.
func (p *pageReader) checkLeaf(data []byte, offset int, id uint64, i, depth int) error {
	element := data[offset:]
	position, keySize, valueSize := uint64(byteOrder.Uint32(element[4:])), uint64(byteOrder.Uint32(element[8:])), uint64(byteOrder.Uint32(element[12:]))
	value, err := slice(data, uint64(offset), position+keySize, valueSize)
	if err != nil {
		return invalidContents("page %d, element %d: the value is out of bounds", id, i)
	}
	if byteOrder.Uint32(element)&bucketLeafFlag == 0 {
		return nil
	}
	if len(value) < bucketHeaderSize {
		return invalidContents("page %d, element %d: the bucket has only %d bytes", id, i, len(value))
	}
	switch root := byteOrder.Uint64(value); {
	case root != 0:
		return p.checkTree(root, depth+1)
	case len(value) < bucketHeaderSize+pageHeaderSize:
		return invalidContents("page %d, element %d: the bucket has only %d bytes", id, i, len(value))
	default: // a small bucket is stored inline in its element
		return p.checkElements(newPage(value[bucketHeaderSize:]), id, depth+1)
	}
}

// slice returns size bytes at a position relative to an element of a page.
func slice(data []byte, elementOffset, position, size uint64) ([]byte, error) {
	if start := elementOffset + position; start+size <= uint64(len(data)) {
		return data[start : start+size], nil
	}
	return nil, io.ErrUnexpectedEOF
}

// checkFreelist checks that the free pages are in range, listed once and not in use.
func (p *pageReader) checkFreelist(id uint64) error {
	if id == freelistNotStored {
		return nil
	}
	freelist, err := p.readPage(id)
	if err != nil {
		return err
	}
	if freelist.flags != freelistPageFlag {
		return invalidContents("page %d has flags %#x, expected the freelist", id, freelist.flags)
	}
	data := freelist.data
	freeCount, start := uint64(freelist.count), uint64(pageHeaderSize)
	if freelist.count == 0xFFFF {
		freeCount, start = byteOrder.Uint64(data[pageHeaderSize:]), pageHeaderSize+8
	}
	if freeCount > uint64(len(data))/8 || start+8*freeCount > uint64(len(data)) {
		return invalidContents("page %d is too small for a freelist of %d pages", id, freeCount)
	}
	for i := range freeCount {
		freeID := byteOrder.Uint64(data[start+8*i:])
		if freeID < 2 || freeID >= p.pageCount || p.reached[freeID] {
			return invalidContents("free page %d is out of range, in use or listed twice", freeID)
		}
		p.reached[freeID] = true
	}
	return nil
}
