package fleet

const (
	// maxKeptEntries is the number of applied entries that a node keeps for its peers.
	maxKeptEntries = 256
	// entryBatchSize is the largest number of entries read or sent at once.
	entryBatchSize = 32
)

// entryLog holds accepted entries by sequence.
type entryLog struct {
	// applied is the sequence of the newest entry in force.
	applied  uint64
	entries  map[uint64]Entry
	readCall uint64
	asked    bool
}

func newEntryLog(applied uint64) entryLog {
	return entryLog{applied: applied, entries: map[uint64]Entry{}}
}

func (log *entryLog) add(sequence uint64, entry Entry) {
	if _, known := log.entries[sequence]; known || sequence+maxKeptEntries <= log.applied {
		return
	}
	log.entries[sequence] = entry
}

// applyEntries puts the accepted entries in force, in order, up to the first gap.
func (core *Core) applyEntries() {
	for core.log.applied < core.head.Sequence {
		entry, known := core.log.entries[core.log.applied+1]
		if !known {
			return
		}
		core.log.applied++
		core.emit(ApplyEntry{Sequence: core.log.applied, Entry: entry})
		delete(core.log.entries, core.log.applied-min(core.log.applied, maxKeptEntries))
	}
}

// catchUp requests the accepted entries that this node lacks from the table and from a peer.
func (core *Core) catchUp() {
	if !core.headKnown || core.log.applied >= core.head.Sequence || core.log.readCall != 0 {
		return
	}
	last := min(core.log.applied+entryBatchSize, core.head.Sequence)
	var keys []string
	for sequence := core.log.applied + 1; sequence <= last; sequence++ {
		keys = append(keys, EntryKey(sequence))
	}
	first := core.log.applied + 1
	core.log.readCall = core.read(keys, func(answer tableAnswer) {
		core.log.readCall = 0
		core.finishCatchUp(first, answer)
	})
	if peer, found := core.livePeer(); found {
		core.send(peer, EntriesRequest{After: core.log.applied})
	}
}

func (core *Core) finishCatchUp(first uint64, answer tableAnswer) {
	if answer.failed {
		return
	}
	if _, found := answer.rows[EntryKey(first)]; !found && core.log.applied < first {
		// The entry was accepted, so its row can only be missing because a snapshot replaced it.
		core.emit(LoadSnapshot{})
	}
	for sequence := first; sequence < first+entryBatchSize; sequence++ {
		row, found := answer.rows[EntryKey(sequence)]
		if !found {
			break
		}
		if entry, err := DecodeEntry(row.Value); err == nil {
			core.log.add(sequence, entry)
		}
	}
	core.applyEntries()
}

// SkipTo continues after the sequence of a snapshot that the caller has put in force.
func (core *Core) SkipTo(sequence uint64) {
	core.log.applied = max(core.log.applied, sequence)
}

func (core *Core) sendEntries(to string, after uint64) {
	var entries [][]byte
	for sequence := after + 1; sequence <= core.log.applied && len(entries) < entryBatchSize; sequence++ {
		entry, known := core.log.entries[sequence]
		if !known {
			break
		}
		entries = append(entries, EncodeEntry(entry))
	}
	if len(entries) > 0 {
		core.send(to, EntriesResponse{First: after + 1, Entries: entries})
	}
}

func (core *Core) addEntries(message EntriesResponse) {
	for offset, value := range message.Entries {
		entry, err := DecodeEntry(value)
		if err != nil {
			return
		}
		core.log.add(message.First+uint64(offset), entry)
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
