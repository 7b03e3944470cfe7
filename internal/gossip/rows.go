package gossip

import (
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// Changes holds the rows of a table that changed between two versions.
type Changes struct {
	Table string `cbor:"1,keyasint"`
	// After is the version of the last change before these. A copy of the table that is
	// older needs the whole table instead.
	After uint64 `cbor:"2,keyasint"`
	// Version is the version of the table with these changes.
	Version uint64   `cbor:"3,keyasint"`
	Rows    []Change `cbor:"4,keyasint"`
	// Recovering is set if deletions may be effects of an outage of the store.
	Recovering bool `cbor:"5,keyasint,omitempty"`
	// Bulk says that the changes of the table may be large. It is not sent.
	Bulk bool `cbor:"-"`
}

// Change is a row that was written or deleted.
type Change struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Compressed says that Value is compressed, against the value that the row had at the
	// version Base unless that is zero.
	Compressed bool   `cbor:"5,keyasint,omitempty"`
	Base       uint64 `cbor:"6,keyasint,omitempty"`
}

// EncodeChanges returns the message for a batch of changed rows; previous has the rows
// that they replace. Large values are compressed against these.
func EncodeChanges(
	table string, after mimosatide.RowVersion, batch mimosatide.RowBatch, previous map[string]mimosatide.Row, recovering bool,
) (Changes, error) {
	if after.Era() != batch.Version.Era() {
		return Changes{}, errors.NotValidf("changes up to version %s after %s", batch.Version, after)
	}
	message := Changes{Table: table, After: uint64(after), Version: uint64(batch.Version), Recovering: recovering}
	for _, row := range batch.Rows {
		change := Change{Key: row.Key, Value: row.Value, Version: uint64(row.Version), Deleted: row.Deleted}
		if len(row.Value) >= minCompressedBytes {
			base := previous[row.Key]
			if base.Version.Era() != batch.Version.Era() {
				base = mimosatide.Row{}
			}
			value, err := compress(row.Value, base.Value)
			if err != nil {
				return Changes{}, errors.Annotatef(err, "row %q", row.Key)
			}
			change.Value, change.Compressed = value, true
			if base.Value != nil {
				change.Base = uint64(base.Version)
			}
		}
		message.Rows = append(message.Rows, change)
	}
	return message, nil
}

// Batch returns the changed rows. It returns ErrMissingBase if the receiver lacks a version
// that is needed for them.
func (message Changes) Batch(lookup LookupRow) (mimosatide.RowBatch, error) {
	batch := mimosatide.RowBatch{Version: mimosatide.RowVersion(message.Version)}
	for _, change := range message.Rows {
		value, err := change.decode(lookup)
		if err != nil {
			return mimosatide.RowBatch{}, errors.Annotatef(err, "row %q", change.Key)
		}
		batch.Rows = append(batch.Rows, mimosatide.RowChange{
			Row:     mimosatide.Row{Key: change.Key, Value: value, Version: mimosatide.RowVersion(change.Version)},
			Deleted: change.Deleted,
		})
	}
	return batch, nil
}

func (change Change) decode(lookup LookupRow) ([]byte, error) {
	if !change.Compressed {
		return change.Value, nil
	}
	if change.Base == 0 {
		return decompress(change.Value, nil)
	}
	base, found := lookup(change.Key)
	if !found || uint64(base.Version) != change.Base {
		return nil, errors.Trace(ErrMissingBase)
	}
	return decompress(change.Value, base.Value)
}

// RowsRequest requests a peer's copy of a table.
type RowsRequest struct {
	Table string
	// From is the peer address of the requesting node.
	From string
	// After is the version up to which the requesting node knows all changes; zero if it
	// doesn't know the table. The response leaves out the values of older rows.
	After uint64
	// Compression says that the requesting node reads compressed rows; nodes of earlier
	// versions don't.
	Compression bool
}

// RowsResponse answers RowsRequest with a whole table.
type RowsResponse struct {
	Table string
	// Version is the version up to which the copy has all changes.
	Version uint64
	Rows    []Row
}

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte `cbor:",omitempty"`
	Version uint64
	// Compressed says that Value is compressed.
	Compressed bool `cbor:",omitempty"`
	// Known says that the requesting node has this version of the row; Value is empty.
	Known bool `cbor:",omitempty"`
}

// EncodeRows returns the answer to a request for a table, given the whole copy of it.
func (compressor *Compressor) EncodeRows(request RowsRequest, batch mimosatide.RowBatch) (RowsResponse, error) {
	message := RowsResponse{Table: request.Table, Version: uint64(batch.Version)}
	compressed := map[string]compressedRow{}
	if request.Compression {
		var err error
		if compressed, err = compressor.compressRows(request.Table, batch.Rows); err != nil {
			return RowsResponse{}, errors.Trace(err)
		}
	}
	for _, change := range batch.Rows {
		row := Row{Key: change.Key, Value: change.Value, Version: uint64(change.Version)}
		large, isLarge := compressed[change.Key]
		switch {
		case uint64(change.Version) <= request.After && change.Version.Era() == eraOf(request.After):
			row.Value, row.Known = nil, true
		case isLarge:
			row.Value, row.Compressed = large.value, true
		}
		message.Rows = append(message.Rows, row)
	}
	return message, nil
}

// Batch returns the copy as a complete batch of rows. It returns ErrMissingBase if the
// receiver no longer has a row that was left out.
func (message RowsResponse) Batch(lookup LookupRow) (mimosatide.RowBatch, error) {
	batch := mimosatide.RowBatch{Version: mimosatide.RowVersion(message.Version), Complete: true}
	for _, row := range message.Rows {
		value, err := row.decode(lookup)
		if err != nil {
			return mimosatide.RowBatch{}, errors.Annotatef(err, "row %q", row.Key)
		}
		batch.Rows = append(batch.Rows, mimosatide.RowChange{
			Row: mimosatide.Row{Key: row.Key, Value: value, Version: mimosatide.RowVersion(row.Version)},
		})
	}
	return batch, nil
}

func (row Row) decode(lookup LookupRow) ([]byte, error) {
	switch {
	case row.Known:
		known, found := lookup(row.Key)
		if !found || uint64(known.Version) < row.Version {
			return nil, errors.Trace(ErrMissingBase)
		}
		return known.Value, nil
	case row.Compressed:
		return decompress(row.Value, nil)
	default:
		return row.Value, nil
	}
}
