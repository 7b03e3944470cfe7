package platform

import "mimosatide.example/mimosatide"

type readWire struct {
	Keys []string
}

type scanWire struct {
	Prefix string
}

type rowWire struct {
	Key     string
	Value   []byte
	Version uint64
}

type rowsWire struct {
	Rows []rowWire
}

type conditionWire struct {
	Key     string
	Version uint64
}

type writeWire struct {
	Key    string
	Value  []byte
	Delete bool
}

type transactionWire struct {
	Conditions []conditionWire
	Writes     []writeWire
}

type outcomeWire struct {
	Outcome string
}

type hostWire struct {
	Name  string
	State string
}

type hostsWire struct {
	Hosts []hostWire
}

func rowsFromWire(wire rowsWire) []mimosatide.Row {
	rows := make([]mimosatide.Row, 0, len(wire.Rows))
	for _, row := range wire.Rows {
		rows = append(rows, mimosatide.Row{Key: row.Key, Value: row.Value, Version: mimosatide.RowVersion(row.Version)})
	}
	return rows
}

func rowsToWire(rows []mimosatide.Row) rowsWire {
	wire := rowsWire{Rows: make([]rowWire, 0, len(rows))}
	for _, row := range rows {
		wire.Rows = append(wire.Rows, rowWire{Key: row.Key, Value: row.Value, Version: uint64(row.Version)})
	}
	return wire
}

func transactionToWire(transaction mimosatide.Transaction) transactionWire {
	var wire transactionWire
	for _, condition := range transaction.Conditions {
		wire.Conditions = append(wire.Conditions, conditionWire{Key: condition.Key, Version: uint64(condition.Version)})
	}
	for _, write := range transaction.Writes {
		wire.Writes = append(wire.Writes, writeWire(write))
	}
	return wire
}

func transactionFromWire(wire transactionWire) mimosatide.Transaction {
	var transaction mimosatide.Transaction
	for _, condition := range wire.Conditions {
		transaction.Conditions = append(transaction.Conditions, mimosatide.Condition{
			Key:     condition.Key,
			Version: mimosatide.RowVersion(condition.Version),
		})
	}
	for _, write := range wire.Writes {
		transaction.Writes = append(transaction.Writes, mimosatide.Write(write))
	}
	return transaction
}

func outcomeFromWire(wire outcomeWire) mimosatide.CommitOutcome {
	switch wire.Outcome {
	case mimosatide.CommitDone.String():
		return mimosatide.CommitDone
	case mimosatide.CommitConflict.String():
		return mimosatide.CommitConflict
	case mimosatide.CommitRefused.String():
		return mimosatide.CommitRefused
	default:
		return mimosatide.CommitUnknown
	}
}
