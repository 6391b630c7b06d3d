package storage

// Options tune a FileStore. The zero value is the default.
type Options struct {
	// CompactAbove is the length in bytes below which the file is not compacted, unless that is too long for SizeLimit.
	CompactAbove int64
	// SizeLimit is what the file and the one that compaction writes should take together, in bytes. It can be kept while the live data is
	// less than three eighths of it.
	SizeLimit int64
}

// OpenResult tells what Open found.
type OpenResult struct {
	// Empty is true where no store had ever been completely made in the directory.
	Empty bool
	// TruncatedBytes is the length of the incomplete last record that was truncated.
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
