package loading

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// firstEra is the era of a store that was never restored; zero if it names none.
	firstEra = 1
	// termNumberBits is the number of bits of a term that hold the number of a version; those
	// above hold the era.
	termNumberBits = 40
	// termBits is the size of the integers that JSON numbers hold exactly.
	termBits = 53
)

// leaseRow is the value of a lease's row.
type leaseRow struct {
	Holder   string
	Term     uint64
	Released bool
	// Waiting says that the holder may not order yet, because one before it may have ordered
	// until shortly before the row was written.
	Waiting bool `cbor:",omitempty"`
	// Era is the era of the store in which the row was written, as far as its writer knew.
	Era uint64
}

// foundRow is a lease's row as it was read.
type foundRow struct {
	leaseRow
	// version is zero if the row is absent; newest is the newest version of the store.
	version mimosatide.RowVersion
	newest  mimosatide.RowVersion
}

// decodeRow returns the row of a lease. With an error it still has its version.
func decodeRow(rows []mimosatide.Row, newest mimosatide.RowVersion) (foundRow, error) {
	found := foundRow{newest: newest}
	if len(rows) == 0 {
		return found, nil
	}
	found.version = rows[0].Version
	if err := cbor.Unmarshal(rows[0].Value, &found.leaseRow); err != nil {
		found.leaseRow = leaseRow{}
		return found, errors.Trace(err)
	}
	return found, nil
}

// belongsToEra reports whether the row, or its absence, is what this system has last written.
// Otherwise a restore may have taken later rows away, or a call of the time before has
// written the row.
func (found foundRow) belongsToEra() bool {
	era := found.newest.Era()
	return era <= firstEra || found.version != 0 && found.Era == era
}

// isOf reports whether the row says that a holder has the lease under a term.
func (found foundRow) isOf(holder string, term uint64) bool {
	return found.belongsToEra() && found.version != 0 && found.Holder == holder && found.Term == term && !found.Released
}

// seenAs returns the row's version, or that of an absent row in its era.
func (found foundRow) seenAs() mimosatide.RowVersion {
	if found.version != 0 {
		return found.version
	}
	return found.newest - mimosatide.RowVersion(found.newest.Number())
}

// nextTerm returns the term of the node that takes the lease next. A term that the store has
// forgotten is lower: it was based on an earlier era, or on a read before the write of a
// row that this one replaced.
func (found foundRow) nextTerm() (uint64, error) {
	era, number := found.newest.Era(), found.newest.Number()
	if era >= 1<<(termBits-termNumberBits) || number >= 1<<termNumberBits || found.Term >= 1<<termBits-1 {
		return 0, errors.NotValidf("term after %d at version %s of the store", found.Term, found.newest)
	}
	return max(found.Term+1, era<<termNumberBits|number), nil
}

// vacancy is the reason why a lease may be taken.
type vacancy string

const (
	// vacancyNone means that another node may hold the lease.
	vacancyNone vacancy = ""
	// vacancyNew means that nobody has held the lease yet.
	vacancyNew vacancy = "new"
	// vacancyOwn means that this machine has written the row.
	vacancyOwn vacancy = "own"
	// vacancyKept means that this node held the lease when the store was restored.
	vacancyKept vacancy = "kept"
	// vacancyGivenUp means that the holder has told its peers that it has stopped.
	vacancyGivenUp vacancy = "given up"
	// vacancyReleased means that the holder has written that it has stopped.
	vacancyReleased vacancy = "released"
	// vacancyExpired means that the row has not changed for longer than a lease lasts.
	vacancyExpired vacancy = "expired"
)
