package storage

// Options configures a FileStore. Zero fields have default values.
type Options struct {
	// CompactAbove is the length in bytes up to which the file is not compacted, unless SizeLimit requires it.
	CompactAbove int64
	// SizeLimit bounds the size in bytes of the file and the one that compaction writes, together. The bound holds while the
	// live data is less than three eighths of it.
	SizeLimit int64
}

// OpenResult describes what Open found.
type OpenResult struct {
	// Empty is true if the directory had no completely created store, so that Open created one.
	Empty bool
	// TruncatedBytes is the length of the incomplete last record that Open truncated.
	TruncatedBytes int64
}

func (o Options) withDefaults() Options {
	if o.CompactAbove == 0 {
		o.CompactAbove = defaultCompactAbove
	}
	if o.SizeLimit == 0 {
		o.SizeLimit = defaultSizeLimit
	}
	return o
}
