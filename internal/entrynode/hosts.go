package entrynode

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
)

const (
	// joinInterval is the time between two attempts to join the list of hosts.
	joinInterval = 500 * time.Millisecond
	// hostTimeout is how long a host may send no digest before it is taken off the list.
	hostTimeout  = 8 * time.Second
	storeTimeout = 1500 * time.Millisecond
	// maxLoggedHosts is how many hosts of one change of the list are logged one by one.
	maxLoggedHosts = 8
	// maxCPUShare bounds the CPU share of a host, in cores.
	maxCPUShare = 1024
)

// hostRow is the content of a host's row.
type hostRow struct {
	Address     string
	Incarnation uint64
	Zone        string
	// CPUShare is the fraction of a core that the node may use.
	CPUShare float64
}

// validate rejects a row that names no usable host: one of another writer, or one whose
// share would make every node choose the host as its relay.
func (row hostRow) validate() error {
	if address, err := netip.ParseAddrPort(row.Address); err != nil || address.Port() == 0 {
		return errors.NotValidf("address %q", row.Address)
	}
	if !(row.CPUShare > 0 && row.CPUShare <= maxCPUShare) {
		return errors.NotValidf("CPU share %v", row.CPUShare)
	}
	return nil
}

// applyHosts applies changes of the list of hosts. A host whose row a restore of the store took
// away is kept while it sends digests, until it has written its row again.
func (fleet *fleet) applyHosts(update feed.Update) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	log := fleet.node.log
	if len(update.Rows) > maxLoggedHosts {
		log.Info("hosts known", "rows", len(update.Rows), "before", len(fleet.members))
		log = log.V(1)
	}
	for _, change := range update.Rows {
		own := change.Key == fleet.node.settings.Node
		known := fleet.members[change.Key]
		if change.Deleted && update.Restored && known != nil {
			known.rowLost, known.timeoutStart = true, time.Now()
			log.Info("host row lost", "host", change.Key, "row", change.Version)
			continue
		}
		if change.Deleted {
			delete(fleet.members, change.Key)
			delete(fleet.unaware.hosts, change.Key)
			fleet.joined = fleet.joined && !own
			if own {
				fleet.recordOwnRowLocked(false, false, time.Now())
			}
			log.Info("host left", "host", change.Key, "row", change.Version)
			continue
		}
		var row hostRow
		err := cbor.Unmarshal(change.Value, &row)
		if err == nil {
			err = row.validate()
		}
		if err != nil {
			fleet.node.log.Error(err, "host row unreadable", "host", change.Key, "row", change.Version)
			continue
		}
		if own {
			fleet.joined = row.Incarnation == fleet.node.incarnation
			fleet.recordOwnRowLocked(true, !fleet.joined, time.Now())
			continue
		}
		joined := &member{
			name: change.Key, address: row.Address, zone: row.Zone, cpuShare: row.CPUShare,
			timeoutStart: time.Now(),
		}
		if known != nil && (known.rowLost || update.Restored) && known.address == row.Address {
			joined.lastDigest, joined.relaysTables = known.lastDigest, known.relaysTables
		}
		fleet.members[change.Key] = joined
		log.Info("host known", "host", change.Key, "address", row.Address, "row", change.Version)
	}
	fleet.membersChangedLocked()
}

// membersChangedLocked tells those that depend on the other hosts of a change of the list.
func (fleet *fleet) membersChangedLocked() {
	names, zones := fleet.reportersLocked()
	fleet.node.ledger.SetPeers(names, zones, maxDigestAge(len(fleet.members)))
	fleet.node.retryBudget.SetHosts(len(fleet.members) + 1)
	fleet.chooser.SetHosts(fleet.hostsLocked())
}

// join writes this node's row. The commit's outcome may be unknown: applyHosts sets
// joined once the row is on the list.
func (fleet *fleet) join(ctx context.Context) {
	value, err := cbor.Marshal(hostRow{
		Address: fleet.node.peerAddress, Incarnation: fleet.node.incarnation, Zone: fleet.node.settings.Zone,
		CPUShare: fleet.node.settings.Limits.CPUShare,
	})
	if err != nil {
		fleet.node.log.Error(err, "cannot encode host row")
		return
	}
	fleet.commit(ctx, "host joins", mimosatide.Transaction{
		Writes: []mimosatide.Write{{Key: fleet.node.settings.Node, Value: value}},
	})
}

// leave takes this node off the list of hosts.
func (fleet *fleet) leave(ctx context.Context) {
	fleet.commit(ctx, "host leaves", mimosatide.Transaction{
		Writes: []mimosatide.Write{{Key: fleet.node.settings.Node, Delete: true}},
	})
}

// commit writes to the table of hosts and logs the outcome.
func (fleet *fleet) commit(ctx context.Context, message string, transaction mimosatide.Transaction) {
	commitCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	outcome, row, err := fleet.node.store.Table(hostTable).Commit(commitCtx, transaction)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	fleet.node.log.Info(message, "host", transaction.Writes[0].Key, "outcome", outcome.String(), "row", row, "reason", reason)
}

// removeSilentHosts takes hosts off the list that have sent no digest for hostTimeout.
// Only a lease holder does so. The removal is conditional on the version of the
// host's row, so that a host which has joined again meanwhile stays.
func (fleet *fleet) removeSilentHosts(ctx context.Context, now time.Time) {
	if !fleet.node.loader.holdsAnyLease() {
		return
	}
	for _, silent := range fleet.silentHosts(now) {
		row, found := fleet.node.followers[hostTable].Row(silent.name)
		fleet.lock.Lock()
		found = found && fleet.members[silent.name] == silent
		fleet.lock.Unlock()
		if !found {
			continue
		}
		go fleet.commit(ctx, "host removed", mimosatide.Transaction{
			Conditions: []mimosatide.Condition{{Key: silent.name, Version: row.Version}},
			Writes:     []mimosatide.Write{{Key: silent.name, Delete: true}},
		})
	}
}

// dropLostHosts takes hosts off this node's list whose rows a restore of the store took away
// and which have sent no digest for hostTimeout since.
func (fleet *fleet) dropLostHosts(now time.Time) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	dropped := false
	for name, member := range fleet.members {
		if member.rowLost && now.Sub(fleet.silentSinceLocked(member)) >= hostTimeout {
			delete(fleet.members, name)
			delete(fleet.unaware.hosts, name)
			dropped = true
			fleet.node.log.Info("host left", "host", name, "lastDigest", formatAge(now, member.lastDigest))
		}
	}
	if dropped {
		fleet.membersChangedLocked()
	}
}

// silentSinceLocked returns when a host's time without a digest began.
func (fleet *fleet) silentSinceLocked(member *member) time.Time {
	heard := fleet.lastHeardLocked(member)
	if member.timeoutStart.After(heard) {
		return member.timeoutStart
	}
	return heard
}

// silentHosts returns the hosts that have sent no digest for hostTimeout, each once in that time.
func (fleet *fleet) silentHosts(now time.Time) []*member {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	var silent []*member
	for _, member := range fleet.members {
		if member.rowLost || now.Sub(fleet.silentSinceLocked(member)) < hostTimeout {
			continue
		}
		member.timeoutStart = now
		silent = append(silent, member)
	}
	return silent
}
