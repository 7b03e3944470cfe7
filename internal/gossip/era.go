package gossip

import (
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The messages hold versions of the store's rows with their era. On the wire, the fields that
// nodes of earlier builds know hold the numbers only, and the era is a field of its own, which
// is absent in messages of such nodes: their versions are of era zero, the lowest one. A
// message names one era; of Digest and Summary, versions of earlier eras are left out.

// numberOf returns the number of a version.
func numberOf(version uint64) uint64 {
	return mimosatide.RowVersion(version).Number()
}

// eraOf returns the era of a version.
func eraOf(version uint64) uint64 {
	return mimosatide.RowVersion(version).Era()
}

// setEra turns numbers into versions of an era.
func setEra(era uint64, numbers ...*uint64) error {
	for _, number := range numbers {
		version, err := mimosatide.NewRowVersion(era, *number)
		if err != nil {
			return errors.Trace(err)
		}
		*number = uint64(version)
	}
	return nil
}

// latestEra returns the latest era of the versions of tables.
func latestEra(tables ...map[string]uint64) uint64 {
	latest := uint64(0)
	for _, versions := range tables {
		for _, version := range versions {
			latest = max(latest, eraOf(version))
		}
	}
	return latest
}

// numbersIn returns the numbers of the versions that are of an era.
func numbersIn(era uint64, versions map[string]uint64) map[string]uint64 {
	numbers := make(map[string]uint64, len(versions))
	for table, version := range versions {
		if eraOf(version) == era {
			numbers[table] = numberOf(version)
		}
	}
	return numbers
}

// setEras turns the numbers of tables into versions of an era.
func setEras(era uint64, tables map[string]uint64) error {
	for table, version := range tables {
		if err := setEra(era, &version); err != nil {
			return errors.Annotatef(err, "table %q", table)
		}
		tables[table] = version
	}
	return nil
}

type digestWire struct {
	Digest
	Ownerships []ownershipWire `cbor:"6,keyasint,omitempty"`
	Handovers  []handoverWire  `cbor:"7,keyasint,omitempty"`
	Era        uint64          `cbor:"19,keyasint,omitempty"`
}

type ownershipWire struct {
	Ownership
	Era uint64 `cbor:"7,keyasint,omitempty"`
}

type handoverWire struct {
	Handover
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

func (digest Digest) wire() digestWire {
	wire := digestWire{Digest: digest, Era: latestEra(digest.Tables)}
	wire.Tables = numbersIn(wire.Era, digest.Tables)
	if len(wire.Tables) < len(digest.Tables) {
		// The ages may be those of versions that are left out.
		wire.ConfigurationAgeMillis, wire.CopyAgeMillis = 0, nil
	}
	for _, ownership := range digest.Ownerships {
		encoded := ownershipWire{Ownership: ownership, Era: eraOf(ownership.Row)}
		encoded.Row = numberOf(ownership.Row)
		wire.Ownerships = append(wire.Ownerships, encoded)
	}
	for _, handover := range digest.Handovers {
		encoded := handoverWire{Handover: handover, Era: eraOf(handover.Row)}
		encoded.Row = numberOf(handover.Row)
		wire.Handovers = append(wire.Handovers, encoded)
	}
	return wire
}

func (wire digestWire) message() (Digest, error) {
	digest := wire.Digest
	if err := setEras(wire.Era, digest.Tables); err != nil {
		return Digest{}, errors.Trace(err)
	}
	for _, encoded := range wire.Ownerships {
		if err := setEra(encoded.Era, &encoded.Row); err != nil {
			return Digest{}, errors.Annotatef(err, "lease of %q", encoded.Service)
		}
		digest.Ownerships = append(digest.Ownerships, encoded.Ownership)
	}
	for _, encoded := range wire.Handovers {
		if err := setEra(encoded.Era, &encoded.Row); err != nil {
			return Digest{}, errors.Annotatef(err, "lease of %q", encoded.Service)
		}
		digest.Handovers = append(digest.Handovers, encoded.Handover)
	}
	return digest, nil
}

type summaryWire struct {
	Summary
	Era uint64 `cbor:"12,keyasint,omitempty"`
}

func (summary Summary) wire() summaryWire {
	wire := summaryWire{Summary: summary, Era: latestEra(summary.Tables, summary.SteadyTables)}
	wire.Tables = numbersIn(wire.Era, summary.Tables)
	wire.SteadyTables = numbersIn(wire.Era, summary.SteadyTables)
	wire.ConfigurationAgeMillis = make(map[uint64]int64, len(summary.ConfigurationAgeMillis))
	for version, age := range summary.ConfigurationAgeMillis {
		if eraOf(version) == wire.Era {
			wire.ConfigurationAgeMillis[numberOf(version)] = age
		}
	}
	return wire
}

func (wire summaryWire) message() (Summary, error) {
	summary := wire.Summary
	for _, tables := range []map[string]uint64{summary.Tables, summary.SteadyTables} {
		if err := setEras(wire.Era, tables); err != nil {
			return Summary{}, errors.Trace(err)
		}
	}
	if wire.Era == 0 || wire.ConfigurationAgeMillis == nil {
		return summary, nil
	}
	summary.ConfigurationAgeMillis = make(map[uint64]int64, len(wire.ConfigurationAgeMillis))
	for version, age := range wire.ConfigurationAgeMillis {
		if err := setEra(wire.Era, &version); err != nil {
			return Summary{}, errors.Annotate(err, "age of a configuration")
		}
		summary.ConfigurationAgeMillis[version] = age
	}
	return summary, nil
}

type batchWire struct {
	Batch
	Digests   []digestWire  `cbor:"2,keyasint,omitempty"`
	Summaries []summaryWire `cbor:"4,keyasint,omitempty"`
}

func (batch Batch) wire() batchWire {
	wire := batchWire{Batch: batch}
	for _, digest := range batch.Digests {
		wire.Digests = append(wire.Digests, digest.wire())
	}
	for _, summary := range batch.Summaries {
		wire.Summaries = append(wire.Summaries, summary.wire())
	}
	return wire
}

func (wire batchWire) message() (Batch, error) {
	batch := wire.Batch
	for _, encoded := range wire.Digests {
		digest, err := encoded.message()
		if err != nil {
			return Batch{}, errors.Annotatef(err, "digest of %q", encoded.Node)
		}
		batch.Digests = append(batch.Digests, digest)
	}
	for _, encoded := range wire.Summaries {
		summary, err := encoded.message()
		if err != nil {
			return Batch{}, errors.Annotatef(err, "summary of %q", encoded.Zone)
		}
		batch.Summaries = append(batch.Summaries, summary)
	}
	return batch, nil
}

type changesWire struct {
	Changes
	Era uint64 `cbor:"6,keyasint,omitempty"`
}

func (changes Changes) wire() changesWire {
	wire := changesWire{Changes: changes, Era: eraOf(changes.Version)}
	wire.After, wire.Version = numberOf(changes.After), numberOf(changes.Version)
	wire.Rows = make([]Change, 0, len(changes.Rows))
	for _, row := range changes.Rows {
		row.Version, row.Base = numberOf(row.Version), numberOf(row.Base)
		wire.Rows = append(wire.Rows, row)
	}
	return wire
}

func (wire changesWire) message() (Changes, error) {
	changes := wire.Changes
	if err := setEra(wire.Era, &changes.After, &changes.Version); err != nil {
		return Changes{}, errors.Annotatef(err, "changes of table %q", changes.Table)
	}
	for index := range changes.Rows {
		row := &changes.Rows[index]
		versions := []*uint64{&row.Version}
		if row.Base != 0 {
			versions = append(versions, &row.Base)
		}
		if err := setEra(wire.Era, versions...); err != nil {
			return Changes{}, errors.Annotatef(err, "row %q", row.Key)
		}
	}
	return changes, nil
}

type rowsRequestWire struct {
	RowsRequest
	Era uint64 `cbor:",omitempty"`
}

func (request RowsRequest) wire() rowsRequestWire {
	wire := rowsRequestWire{RowsRequest: request, Era: eraOf(request.After)}
	wire.After = numberOf(request.After)
	return wire
}

func (wire rowsRequestWire) message() (RowsRequest, error) {
	err := setEra(wire.Era, &wire.After)
	return wire.RowsRequest, errors.Annotatef(err, "request for table %q", wire.Table)
}

type rowsResponseWire struct {
	RowsResponse
	Era uint64 `cbor:",omitempty"`
}

func (response RowsResponse) wire() rowsResponseWire {
	wire := rowsResponseWire{RowsResponse: response, Era: eraOf(response.Version)}
	wire.Version = numberOf(response.Version)
	wire.Rows = make([]Row, 0, len(response.Rows))
	for _, row := range response.Rows {
		row.Version = numberOf(row.Version)
		wire.Rows = append(wire.Rows, row)
	}
	return wire
}

func (wire rowsResponseWire) message() (RowsResponse, error) {
	response := wire.RowsResponse
	if err := setEra(wire.Era, &response.Version); err != nil {
		return RowsResponse{}, errors.Annotatef(err, "table %q", response.Table)
	}
	for index := range response.Rows {
		if err := setEra(wire.Era, &response.Rows[index].Version); err != nil {
			return RowsResponse{}, errors.Annotatef(err, "row %q", response.Rows[index].Key)
		}
	}
	return response, nil
}
