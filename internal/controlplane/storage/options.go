package storage

// Options tune a FileStore. The zero value is the default.
type Options struct {
	// CompactAbove is the length in bytes below which the file is not rewritten, unless that is too long for Limit.
	CompactAbove int64
	// SizeLimit is what the file and its next version should take together, in bytes. It can be kept while the live data is
	// less than three eighths of it.
	SizeLimit int64
}

// OpenResult tells what Open found.
type OpenResult struct {
	// Empty is true where no store had ever been completely made in the folder.
	Empty bool
	// TruncatedBytes is the length of the incomplete write that was cut off the end of the file.
	TruncatedBytes int64 `json:"CutBytes"` // the key of the log line
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
