package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeardAge is the age up to which the last digest of a host shows that it is in contact: three of an
	// idle host may be lost.
	HeardAge = 1500 * time.Millisecond
	// ListAge is the age up to which a host's copy of the list shows that the others have not taken it off:
	// twice the time for which the store may hold a poll of an unchanged table.
	ListAge = 20 * time.Second
	// listMemory is how long a host that was taken off the list counts. It may go on issuing its part for
	// ListAge, and if it still reaches the store it is back on the list within 10 s.
	listMemory = ListAge + 10*time.Second
)

// Weight returns the weight of a host in the choice of a target's home; the host with the highest is the
// home.
func Weight(target, host string) uint64 {
	return xxhash.Sum64String(target + "@" + host)
}

// contact is what is known of another host.
type contact struct {
	// listedAt is when it was last seen on the list.
	listedAt time.Time
	// heardAt is when it was last heard, heardFrom since when without a gap of more than HeardAge.
	heardAt   time.Time
	heardFrom time.Time
}

// heardFor reports whether the host is in contact and was so for some time when it was last heard.
func (known contact) heardFor(least time.Duration, now time.Time) bool {
	return !known.heardAt.IsZero() && now.Sub(known.heardAt) <= HeardAge && known.heardAt.Sub(known.heardFrom) >= least
}

// Contacts holds with which of the other hosts a host is in contact, and decides by that what part of the
// rates of cold targets it may issue. The parts of all homes add up to at most 1, see
// docs/design/cold-targets.md. It is not safe for concurrent use.
type Contacts struct {
	// from is the time of the first Update.
	from  time.Time
	hosts map[string]contact
}

// NewContacts returns the contacts of a host that knows no others.
func NewContacts() *Contacts {
	return &Contacts{hosts: map[string]contact{}}
}

// Update records when each of the other hosts on the list was last heard, the zero time if never. It has to
// be called more often than every HeardAge: a host that stood still for longer has lost its contacts.
func (contacts *Contacts) Update(heard map[string]time.Time, now time.Time) {
	if contacts.from.IsZero() {
		contacts.from = now
	}
	for host, at := range heard {
		known := contacts.hosts[host]
		known.listedAt = now
		if at.After(known.heardAt) {
			if at.Sub(known.heardAt) > HeardAge {
				known.heardFrom = at
			}
			known.heardAt = at
		}
		contacts.hosts[host] = known
	}
	for host, known := range contacts.hosts {
		if now.Sub(known.listedAt) > listMemory {
			delete(contacts.hosts, host)
		}
	}
}

// Part returns the part of the rates of cold targets that this host may issue, where delay is the time within
// which hosts in contact hear each other, and lose it when the contact ends. It is 1 if all hosts of
// the list are in contact. Otherwise it is the part of the hosts that have been in contact for so long that no
// other home counts them any more, and zero for as long after the start of the process, whose earlier one another
// home may count, and with a copy of the list that is not current: the others may have taken this side off
// theirs.
func (contacts *Contacts) Part(delay time.Duration, current bool, now time.Time) float64 {
	whole, counted := true, 1
	for _, known := range contacts.hosts {
		whole = whole && known.heardFor(delay, now)
		if known.heardFor(HeardAge+2*delay, now) {
			counted++
		}
	}
	switch {
	case whole:
		return 1
	case !current || now.Sub(contacts.from) < HeardAge+2*delay:
		return 0
	default:
		return float64(counted) / float64(len(contacts.hosts)+1)
	}
}

// Precedes reports whether another host that may still issue permits comes before this one, self, as the home
// of a target: it was heard within HeardAge and the delay after which it has lost the contact as well.
func (contacts *Contacts) Precedes(target, self string, delay time.Duration, now time.Time) bool {
	own := Weight(target, self)
	for host, known := range contacts.hosts {
		if !known.heardAt.IsZero() && now.Sub(known.heardAt) <= HeardAge+delay && Weight(target, host) > own {
			return true
		}
	}
	return false
}
