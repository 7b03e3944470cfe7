package fleet

const (
	// keptEntries is how many accepted entries a node keeps for its peers.
	keptEntries = 256
	// entriesAtOnce bounds the entries read or sent in one call.
	entriesAtOnce = 32
)

// entryLog holds accepted entries and knows which of them are in force.
type entryLog struct {
	applied uint64
	known   map[uint64]Entry
	call    uint64
	asked   bool
}

func newEntryLog(applied uint64) entryLog {
	return entryLog{applied: applied, known: map[uint64]Entry{}}
}

func (log *entryLog) offer(sequence uint64, entry Entry) {
	if _, known := log.known[sequence]; known || sequence+keptEntries <= log.applied {
		return
	}
	log.known[sequence] = entry
}

// applyEntries puts the known entries in force, in their order.
func (core *Core) applyEntries() {
	for core.log.applied < core.head.Sequence {
		entry, known := core.log.known[core.log.applied+1]
		if !known {
			return
		}
		core.log.applied++
		core.emit(ApplyEntry{Sequence: core.log.applied, Entry: entry})
		delete(core.log.known, core.log.applied-min(core.log.applied, keptEntries))
	}
}

// catchUp fetches accepted entries that this node lacks, from the table and from a peer.
func (core *Core) catchUp() {
	if !core.headKnown || core.log.applied >= core.head.Sequence || core.log.call != 0 {
		return
	}
	last := min(core.log.applied+entriesAtOnce, core.head.Sequence)
	var keys []string
	for sequence := core.log.applied + 1; sequence <= last; sequence++ {
		keys = append(keys, EntryKey(sequence))
	}
	first := core.log.applied + 1
	core.log.call = core.read(keys, func(answer tableAnswer) {
		core.log.call = 0
		core.finishCatchUp(first, answer)
	})
	if peer, found := core.livePeer(); found {
		core.send(peer, AskEntries{After: core.log.applied})
	}
}

func (core *Core) finishCatchUp(first uint64, answer tableAnswer) {
	if answer.failed {
		return
	}
	if _, found := answer.rows[EntryKey(first)]; !found && core.log.applied < first {
		// The entry was accepted, so its row can only have been trimmed behind a snapshot.
		core.emit(LoadSnapshot{})
	}
	for sequence := first; sequence < first+entriesAtOnce; sequence++ {
		row, found := answer.rows[EntryKey(sequence)]
		if !found {
			break
		}
		if entry, err := DecodeEntry(row.Value); err == nil {
			core.log.offer(sequence, entry)
		}
	}
	core.applyEntries()
}

// SkipTo continues behind a snapshot that the shell has put in force.
func (core *Core) SkipTo(sequence uint64) {
	core.log.applied = max(core.log.applied, sequence)
}

func (core *Core) giveEntries(to string, after uint64) {
	var entries [][]byte
	for sequence := after + 1; sequence <= core.log.applied && len(entries) < entriesAtOnce; sequence++ {
		entry, known := core.log.known[sequence]
		if !known {
			break
		}
		entries = append(entries, EncodeEntry(entry))
	}
	if len(entries) > 0 {
		core.send(to, GiveEntries{First: after + 1, Entries: entries})
	}
}

func (core *Core) takeEntries(message GiveEntries) {
	for offset, value := range message.Entries {
		entry, err := DecodeEntry(value)
		if err != nil {
			return
		}
		core.log.offer(message.First+uint64(offset), entry)
	}
	core.applyEntries()
}

func (core *Core) livePeer() (string, bool) {
	for _, member := range core.Live(core.now) {
		if member.Address != core.settings.Self.Address {
			return member.Address, true
		}
	}
	return "", false
}
