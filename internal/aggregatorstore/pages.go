package aggregatorstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"os"
)

// The library's own check of a file runs in a goroutine of its own, and a cycle of pages ends the process there: a corrupt file would
// keep an aggregator from starting. So the pages are checked here before the library reads them, by the layout that bbolt
// documents (go.etcd.io/bbolt, page.go and node.go). The contents of records are checked by their checksums.
const (
	pageHeaderSize    = 16
	bucketHeaderSize  = 16 // of a bucket in an element: its root page and a sequence
	elementSize       = 16
	branchPage        = 0x01
	leafPage          = 0x02
	freePage          = 0x10
	bucketLeaf        = 0x01
	magic             = 0xED0CDAED
	layoutVersion     = 2
	metaSize          = 64 // from the magic number to the end of the checksum
	maxDepth          = 32 // far deeper than a tree of a hundred thousand records
	freelistNotStored = ^uint64(0)
)

var native = binary.NativeEndian

// pageReader reads the pages of one file.
type pageReader struct {
	file      io.ReaderAt
	fileSize  int64
	pageSize  uint64 // bytes of one
	pageCount uint64 // pages in use, by the meta page
	reached   map[uint64]bool
}

// page is one with the pages that it overflows into.
type page struct {
	data         []byte
	flags, count uint16
}

// newPage reads the header of a page, or of a bucket that is inline in an element.
func newPage(data []byte) page {
	return page{data, native.Uint16(data[8:]), native.Uint16(data[10:])}
}

// metaPage is what a meta page says.
type metaPage struct{ pageSize, root, freelist, pageCount, transaction uint64 }

// validatePages checks a file's pages; a file that is empty or missing is valid. The error is a corruptError where the pages
// contradict each other.
func validatePages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
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

// readMeta finds the later of the two meta pages that are valid.
func (p *pageReader) readMeta() (last metaPage, err error) {
	size := uint64(os.Getpagesize())
	for i := range uint64(2) {
		b := make([]byte, pageHeaderSize+metaSize)
		if _, err := p.file.ReadAt(b, int64(i*size)); err != nil {
			return last, invalidContents("cut off in meta page %d", i)
		}
		b = b[pageHeaderSize:]
		sum := fnv.New64a()
		sum.Write(b[:metaSize-8])
		m := metaPage{uint64(native.Uint32(b[8:])), native.Uint64(b[16:]), native.Uint64(b[32:]), native.Uint64(b[40:]), native.Uint64(b[48:])}
		if native.Uint32(b) != magic || native.Uint32(b[4:]) != layoutVersion || native.Uint64(b[56:]) != sum.Sum64() {
			continue
		}
		if m.pageSize != size {
			return last, invalidContents("pages of %d bytes, expected %d", m.pageSize, size)
		}
		if last.pageSize == 0 || m.transaction > last.transaction {
			last = m
		}
	}
	if last.pageSize == 0 {
		return last, invalidContents("no meta page is good")
	}
	return last, nil
}

// readPage reads a page with those that it overflows into. None of them may have been reached before.
func (p *pageReader) readPage(id uint64) (page, error) {
	header := make([]byte, pageHeaderSize)
	if id < 2 || id >= p.pageCount || int64((id+1)*p.pageSize) > p.fileSize {
		return page{}, invalidContents("page %d is beyond the %d there are", id, p.pageCount)
	}
	if _, err := p.file.ReadAt(header, int64(id*p.pageSize)); err != nil {
		return page{}, err
	}
	over := uint64(native.Uint32(header[12:]))
	if native.Uint64(header) != id || over >= p.pageCount || id+over >= p.pageCount || int64((id+over+1)*p.pageSize) > p.fileSize {
		return page{}, invalidContents("page %d calls itself %d, with %d more", id, native.Uint64(header), over)
	}
	for i := id; i <= id+over; i++ {
		if p.reached[i] {
			return page{}, invalidContents("page %d is led to twice", i)
		}
		p.reached[i] = true
	}
	data := make([]byte, (1+over)*p.pageSize)
	_, err := p.file.ReadAt(data, int64(id*p.pageSize))
	return newPage(data), err
}

// checkTree checks a page and all below it.
func (p *pageReader) checkTree(id uint64, depth int) error {
	if depth > maxDepth {
		return invalidContents("page %d lies deeper than %d", id, maxDepth)
	}
	tree, err := p.readPage(id)
	if err != nil {
		return err
	}
	return p.checkElements(tree, id, depth)
}

// checkElements checks a page's elements, and the pages that they lead to.
func (p *pageReader) checkElements(tree page, id uint64, depth int) error {
	if tree.flags != branchPage && tree.flags != leafPage || tree.flags == branchPage && tree.count == 0 {
		return invalidContents("page %d is of kind %#x with %d elements", id, tree.flags, tree.count)
	}
	var previous []byte
	for i := range int(tree.count) {
		offset := pageHeaderSize + i*elementSize
		if offset+elementSize > len(tree.data) {
			return invalidContents("page %d has %d elements", id, tree.count)
		}
		element := tree.data[offset:]
		var key []byte
		var err error
		if tree.flags == branchPage {
			key, err = slice(tree.data, uint64(offset), uint64(native.Uint32(element)), uint64(native.Uint32(element[4:])))
		} else {
			key, err = slice(tree.data, uint64(offset), uint64(native.Uint32(element[4:])), uint64(native.Uint32(element[8:])))
		}
		if err != nil || i > 0 && bytes.Compare(previous, key) >= 0 {
			return invalidContents("page %d, element %d: a key out of order or place", id, i)
		}
		previous = key
		if tree.flags == branchPage {
			err = p.checkTree(native.Uint64(element[8:]), depth+1)
		} else {
			err = p.checkLeaf(tree.data, offset, id, i, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLeaf checks a leaf element's value, and, where that is a bucket, the bucket's pages.
func (p *pageReader) checkLeaf(data []byte, offset int, id uint64, i, depth int) error {
	element := data[offset:]
	position, keySize, valueSize := uint64(native.Uint32(element[4:])), uint64(native.Uint32(element[8:])), uint64(native.Uint32(element[12:]))
	value, err := slice(data, uint64(offset), position+keySize, valueSize)
	if err != nil {
		return invalidContents("page %d, element %d: a value out of place", id, i)
	}
	if native.Uint32(element)&bucketLeaf == 0 {
		return nil
	}
	if len(value) < bucketHeaderSize {
		return invalidContents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
	}
	switch root := native.Uint64(value); {
	case root != 0:
		return p.checkTree(root, depth+1)
	case len(value) < bucketHeaderSize+pageHeaderSize:
		return invalidContents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
	default: // small enough to be inline in its own element
		return p.checkElements(newPage(value[bucketHeaderSize:]), id, depth+1)
	}
}

// slice is so many bytes at a position relative to an element.
func slice(b []byte, at, pos, size uint64) ([]byte, error) {
	if from := at + pos; from+size <= uint64(len(b)) {
		return b[from : from+size], nil
	}
	return nil, io.ErrUnexpectedEOF
}

// checkFreelist checks that no page is both free and in use.
func (p *pageReader) checkFreelist(id uint64) error {
	if id == freelistNotStored {
		return nil
	}
	list, err := p.readPage(id)
	if err != nil {
		return err
	}
	if list.flags != freePage {
		return invalidContents("page %d is of kind %#x, expected the list of free ones", id, list.flags)
	}
	b := list.data
	n, from := uint64(list.count), uint64(pageHeaderSize)
	if list.count == 0xFFFF {
		n, from = native.Uint64(b[pageHeaderSize:]), pageHeaderSize+8
	}
	if n > uint64(len(b))/8 || from+8*n > uint64(len(b)) {
		return invalidContents("page %d lists %d free ones", id, n)
	}
	for i := range n {
		f := native.Uint64(b[from+8*i:])
		if f < 2 || f >= p.pageCount || p.reached[f] {
			return invalidContents("page %d is free and in use", f)
		}
		p.reached[f] = true
	}
	return nil
}
