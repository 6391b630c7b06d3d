package aggregatorstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"os"
)

// The library's own check of a file runs in a goroutine of its own, and a page that leads back to itself ends the process
// there: a corrupt file would keep an aggregator from starting. So pages are checked here before the library sees any of them, by
// the layout that it documents. What the records hold is checked by their own sums.
const (
	pageHeaderSize    = 16
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

// pageReader reads one file.
type pageReader struct {
	file      io.ReaderAt
	fileSize  int64
	pageSize  uint64 // bytes of one
	pageCount uint64 // pages in use, by the meta page
	reached   map[uint64]bool
}

type metaPage struct{ pageSize, root, freelist, pageCount, transaction uint64 }

// validatePages tells whether a file's pages make sense: nil also for one that is empty or not there.
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

// meta finds the later of the two meta pages that are good.
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

// readPage reads a page with all that it runs over into, which nothing else may have been found in.
func (p *pageReader) readPage(id uint64) (b []byte, flags, count uint16, err error) {
	head := make([]byte, pageHeaderSize)
	if id < 2 || id >= p.pageCount || int64((id+1)*p.pageSize) > p.fileSize {
		return nil, 0, 0, invalidContents("page %d is beyond the %d there are", id, p.pageCount)
	}
	if _, err := p.file.ReadAt(head, int64(id*p.pageSize)); err != nil {
		return nil, 0, 0, err
	}
	over := uint64(native.Uint32(head[12:]))
	if native.Uint64(head) != id || over >= p.pageCount || id+over >= p.pageCount || int64((id+over+1)*p.pageSize) > p.fileSize {
		return nil, 0, 0, invalidContents("page %d calls itself %d, with %d more", id, native.Uint64(head), over)
	}
	for i := id; i <= id+over; i++ {
		if p.reached[i] {
			return nil, 0, 0, invalidContents("page %d is led to twice", i)
		}
		p.reached[i] = true
	}
	b = make([]byte, (1+over)*p.pageSize)
	_, err = p.file.ReadAt(b, int64(id*p.pageSize))
	return b, native.Uint16(head[8:]), native.Uint16(head[10:]), err
}

// checkTree checks a page and all below it.
func (p *pageReader) checkTree(id uint64, depth int) error {
	if depth > maxDepth {
		return invalidContents("page %d lies deeper than %d", id, maxDepth)
	}
	b, flags, count, err := p.readPage(id)
	if err != nil {
		return err
	}
	return p.checkElements(b, flags, count, id, depth)
}

func (p *pageReader) checkElements(b []byte, flags, count uint16, id uint64, depth int) error {
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return invalidContents("page %d is of kind %#x with %d elements", id, flags, count)
	}
	var before []byte
	for i := range int(count) {
		at := pageHeaderSize + i*elementSize
		if at+elementSize > len(b) {
			return invalidContents("page %d has %d elements", id, count)
		}
		e := b[at:]
		if flags == branchPage {
			pos, size := uint64(native.Uint32(e)), uint64(native.Uint32(e[4:]))
			key, err := slice(b, uint64(at), pos, size)
			if err != nil || i > 0 && bytes.Compare(before, key) >= 0 {
				return invalidContents("page %d, element %d: a key out of order or place", id, i)
			}
			before = key
			if err := p.checkTree(native.Uint64(e[8:]), depth+1); err != nil {
				return err
			}
			continue
		}
		pos, keySize, valueSize := uint64(native.Uint32(e[4:])), uint64(native.Uint32(e[8:])), uint64(native.Uint32(e[12:]))
		key, err := slice(b, uint64(at), pos, keySize)
		if err != nil || i > 0 && bytes.Compare(before, key) >= 0 {
			return invalidContents("page %d, element %d: a key out of order or place", id, i)
		}
		before = key
		value, err := slice(b, uint64(at), pos+keySize, valueSize)
		if err != nil {
			return invalidContents("page %d, element %d: a value out of place", id, i)
		}
		if native.Uint32(e)&bucketLeaf == 0 {
			continue
		}
		if len(value) < 16 {
			return invalidContents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
		}
		root := native.Uint64(value)
		switch {
		case root != 0:
			err = p.checkTree(root, depth+1)
		case len(value) < 16+pageHeaderSize:
			err = invalidContents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
		default: // small enough to stand in its own element
			in := value[16:]
			err = p.checkElements(in, native.Uint16(in[8:]), native.Uint16(in[10:]), id, depth+1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// slice takes so many bytes that begin so far behind an element.
func slice(b []byte, at, pos, size uint64) ([]byte, error) {
	if from := at + pos; from+size <= uint64(len(b)) {
		return b[from : from+size], nil
	}
	return nil, io.ErrUnexpectedEOF
}

// free checks that no page that is listed as free is in use.
func (p *pageReader) checkFreelist(id uint64) error {
	if id == freelistNotStored {
		return nil
	}
	b, flags, count, err := p.readPage(id)
	if err != nil {
		return err
	}
	if flags != freePage {
		return invalidContents("page %d is of kind %#x, expected the list of free ones", id, flags)
	}
	n, from := uint64(count), uint64(pageHeaderSize)
	if count == 0xFFFF {
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
