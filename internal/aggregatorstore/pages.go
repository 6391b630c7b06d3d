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
	pageHead    = 16
	elementSize = 16
	branchPage  = 0x01
	leafPage    = 0x02
	freePage    = 0x10
	bucketLeaf  = 0x01
	magic       = 0xED0CDAED
	layout      = 2
	metaSize    = 64 // from the magic number to the end of the checksum
	mostDepth   = 32 // far deeper than a tree of a hundred thousand records
	noFreelist  = ^uint64(0)
)

var native = binary.NativeEndian

// pages reads one file.
type pages struct {
	file    io.ReaderAt
	size    int64
	page    uint64 // bytes of one
	most    uint64 // pages in use, by the meta page
	reached map[uint64]bool
}

type meta struct{ page, root, free, most, turn uint64 }

// checkPages tells whether a file's pages make sense: nil also for one that is empty or not there.
func checkPages(path string) error {
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
	p := &pages{file: f, size: info.Size(), reached: map[uint64]bool{}}
	m, err := p.meta()
	if err == nil {
		p.page, p.most = m.page, m.most
		err = p.tree(m.root, 0)
	}
	if err == nil {
		err = p.free(m.free)
	}
	if err != nil {
		return &corruptError{err}
	}
	return nil
}

// meta finds the later of the two meta pages that are good.
func (p *pages) meta() (last meta, err error) {
	size := uint64(os.Getpagesize())
	for i := range uint64(2) {
		b := make([]byte, pageHead+metaSize)
		if _, err := p.file.ReadAt(b, int64(i*size)); err != nil {
			return last, contents("cut off in meta page %d", i)
		}
		b = b[pageHead:]
		sum := fnv.New64a()
		sum.Write(b[:metaSize-8])
		m := meta{uint64(native.Uint32(b[8:])), native.Uint64(b[16:]), native.Uint64(b[32:]), native.Uint64(b[40:]), native.Uint64(b[48:])}
		if native.Uint32(b) != magic || native.Uint32(b[4:]) != layout || native.Uint64(b[56:]) != sum.Sum64() {
			continue
		}
		if m.page != size {
			return last, contents("pages of %d bytes, expected %d", m.page, size)
		}
		if last.page == 0 || m.turn > last.turn {
			last = m
		}
	}
	if last.page == 0 {
		return last, contents("no meta page is good")
	}
	return last, nil
}

// read reads a page with all that it runs over into, which nothing else may have been found in.
func (p *pages) read(id uint64) (b []byte, flags, count uint16, err error) {
	head := make([]byte, pageHead)
	if id < 2 || id >= p.most || int64((id+1)*p.page) > p.size {
		return nil, 0, 0, contents("page %d is beyond the %d there are", id, p.most)
	}
	if _, err := p.file.ReadAt(head, int64(id*p.page)); err != nil {
		return nil, 0, 0, err
	}
	over := uint64(native.Uint32(head[12:]))
	if native.Uint64(head) != id || over >= p.most || id+over >= p.most || int64((id+over+1)*p.page) > p.size {
		return nil, 0, 0, contents("page %d calls itself %d, with %d more", id, native.Uint64(head), over)
	}
	for i := id; i <= id+over; i++ {
		if p.reached[i] {
			return nil, 0, 0, contents("page %d is led to twice", i)
		}
		p.reached[i] = true
	}
	b = make([]byte, (1+over)*p.page)
	_, err = p.file.ReadAt(b, int64(id*p.page))
	return b, native.Uint16(head[8:]), native.Uint16(head[10:]), err
}

// tree checks a page and all below it.
func (p *pages) tree(id uint64, depth int) error {
	if depth > mostDepth {
		return contents("page %d lies deeper than %d", id, mostDepth)
	}
	b, flags, count, err := p.read(id)
	if err != nil {
		return err
	}
	return p.elements(b, flags, count, id, depth)
}

func (p *pages) elements(b []byte, flags, count uint16, id uint64, depth int) error {
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return contents("page %d is of kind %#x with %d elements", id, flags, count)
	}
	var before []byte
	for i := range int(count) {
		at := pageHead + i*elementSize
		if at+elementSize > len(b) {
			return contents("page %d has %d elements", id, count)
		}
		e := b[at:]
		if flags == branchPage {
			pos, size := uint64(native.Uint32(e)), uint64(native.Uint32(e[4:]))
			key, err := span(b, uint64(at), pos, size)
			if err != nil || i > 0 && bytes.Compare(before, key) >= 0 {
				return contents("page %d, element %d: a key out of order or place", id, i)
			}
			before = key
			if err := p.tree(native.Uint64(e[8:]), depth+1); err != nil {
				return err
			}
			continue
		}
		pos, keySize, valueSize := uint64(native.Uint32(e[4:])), uint64(native.Uint32(e[8:])), uint64(native.Uint32(e[12:]))
		key, err := span(b, uint64(at), pos, keySize)
		if err != nil || i > 0 && bytes.Compare(before, key) >= 0 {
			return contents("page %d, element %d: a key out of order or place", id, i)
		}
		before = key
		value, err := span(b, uint64(at), pos+keySize, valueSize)
		if err != nil {
			return contents("page %d, element %d: a value out of place", id, i)
		}
		if native.Uint32(e)&bucketLeaf == 0 {
			continue
		}
		if len(value) < 16 {
			return contents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
		}
		root := native.Uint64(value)
		switch {
		case root != 0:
			err = p.tree(root, depth+1)
		case len(value) < 16+pageHead:
			err = contents("page %d, element %d: a bucket of %d bytes", id, i, len(value))
		default: // small enough to stand in its own element
			in := value[16:]
			err = p.elements(in, native.Uint16(in[8:]), native.Uint16(in[10:]), id, depth+1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// span takes so many bytes that begin so far behind an element.
func span(b []byte, at, pos, size uint64) ([]byte, error) {
	if from := at + pos; from+size <= uint64(len(b)) {
		return b[from : from+size], nil
	}
	return nil, io.ErrUnexpectedEOF
}

// free checks that no page that is listed as free is in use.
func (p *pages) free(id uint64) error {
	if id == noFreelist {
		return nil
	}
	b, flags, count, err := p.read(id)
	if err != nil {
		return err
	}
	if flags != freePage {
		return contents("page %d is of kind %#x, expected the list of free ones", id, flags)
	}
	n, from := uint64(count), uint64(pageHead)
	if count == 0xFFFF {
		n, from = native.Uint64(b[pageHead:]), pageHead+8
	}
	if n > uint64(len(b))/8 || from+8*n > uint64(len(b)) {
		return contents("page %d lists %d free ones", id, n)
	}
	for i := range n {
		f := native.Uint64(b[from+8*i:])
		if f < 2 || f >= p.most || p.reached[f] {
			return contents("page %d is free and in use", f)
		}
		p.reached[f] = true
	}
	return nil
}
