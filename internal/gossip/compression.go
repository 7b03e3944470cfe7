package gossip

import (
	"math/bits"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"mimosatide.example/mimosatide"
)

const (
	// minCompressedBytes is the size of a value from which it is compressed.
	minCompressedBytes = 1024
	// maxValueBytes bounds a decompressed value.
	maxValueBytes = 8 << 20
	// dictionaryID identifies the base of a value in a compressed frame, which has one at most.
	dictionaryID = 1
)

// ErrMissingBase is returned for a value that is compressed against a version of its row
// that the receiver doesn't have.
var ErrMissingBase = errors.New("the row's base version is not known here")

// LookupRow returns the receiver's copy of a row of the message's table.
type LookupRow func(key string) (mimosatide.Row, bool)

// compress returns the value compressed against base, which may be nil. Its size follows
// that of the difference between the two.
func compress(value, base []byte) ([]byte, error) {
	// The window has to reach back to the beginning of base.
	window := max(zstd.MinWindowSize, 1<<bits.Len(uint(len(value)+len(base))))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "compressing a row")
	}
	compressed := encoder.EncodeAll(value, nil)
	return compressed, errors.Annotate(encoder.Close(), "compressing a row")
}

// decompress reverts compress.
func decompress(compressed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxValueBytes), zstd.WithDecoderMaxWindow(4 * maxValueBytes),
	}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Annotate(err, "decompressing a row")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(compressed, nil)
	return value, errors.Annotate(err, "decompressing a row")
}

// Compressor encodes whole tables and keeps what it has compressed of each, because many
// nodes may request the same table. It is safe for concurrent use.
type Compressor struct {
	lock sync.Mutex
	// rows holds the large rows of each table as last encoded, by key.
	rows map[string]map[string]compressedRow
}

type compressedRow struct {
	version mimosatide.RowVersion
	value   []byte
}

// NewCompressor returns a compressor that has kept nothing.
func NewCompressor() *Compressor {
	return &Compressor{rows: map[string]map[string]compressedRow{}}
}

// Rows returns the number of rows that the compressor keeps.
func (compressor *Compressor) Rows() int {
	compressor.lock.Lock()
	defer compressor.lock.Unlock()
	count := 0
	for _, rows := range compressor.rows {
		count += len(rows)
	}
	return count
}

// compressRows returns the compressed values of the large rows of a table, by key, and
// forgets the other rows that it has kept of it.
func (compressor *Compressor) compressRows(table string, changes []mimosatide.RowChange) (map[string]compressedRow, error) {
	compressor.lock.Lock()
	defer compressor.lock.Unlock()
	kept, rows := compressor.rows[table], map[string]compressedRow{}
	for _, change := range changes {
		if len(change.Value) < minCompressedBytes {
			continue
		}
		if row, found := kept[change.Key]; found && row.version == change.Version {
			rows[change.Key] = row
			continue
		}
		value, err := compress(change.Value, nil)
		if err != nil {
			return nil, errors.Annotatef(err, "row %q", change.Key)
		}
		rows[change.Key] = compressedRow{version: change.Version, value: value}
	}
	compressor.rows[table] = rows
	return rows, nil
}
