package gossip_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gossip"
)

// plainMessages are messages of a node of an earlier build, which knows no eras, as that build
// encodes them.
var plainMessages = map[string]struct {
	encoded string
	message any
}{
	"digest": {
		"a2010102a801626e31020703a16161fb3ff800000000000005a1626f70185a0681a4016173020303185805020781a3016173021857030509f50d1828",
		messagesOf(0)["digest"],
	},
	"batch": {
		"a2010702a301020281a301626e31020705a1626f70185a0481a701616102626e310307040208a1626f70185a09a1626f7018590aa1185a19012c",
		messagesOf(0)["batch"],
	},
	"changes": {
		"a2010902a401626f7002185003185a0482a50166636f6e66696702417603185a05f5061850a30164676f6e6503185904f5",
		messagesOf(0)["changes"],
	},
	"request": {
		"a2010502a4655461626c65626f706446726f6d63703a3165416674657218506b436f6d7072657373696f6ef5",
		messagesOf(0)["request"],
	},
	"response": {
		"a2010602a3655461626c65626f706756657273696f6e185a64526f777382a3634b657966636f6e6669676556616c756541766756657273696f6e185a" +
			"a3634b6579656f746865726756657273696f6e1850654b6e6f776ef5",
		messagesOf(0)["response"],
	},
}

// messagesOf returns messages whose versions are of an era.
func messagesOf(era uint64) map[string]any {
	version := func(number uint64) uint64 {
		version, err := mimosatide.NewRowVersion(era, number)
		if err != nil {
			panic(err)
		}
		return uint64(version)
	}
	return map[string]any{
		"digest": gossip.Digest{
			Node: "n1", Incarnation: 7, Spent: map[string]float64{"a": 1.5}, Tables: map[string]uint64{"op": version(90)},
			Ownerships: []gossip.Ownership{{Service: "s", Term: 3, Row: version(88), RemoteLimit: 2}},
			Handovers:  []gossip.Handover{{Service: "s", Row: version(87), IdleMillis: 5}}, RelaysTables: true, ConfigurationAgeMillis: 40,
		},
		"batch": gossip.Batch{
			Reach: gossip.ReachAll, Digests: []gossip.Digest{{Node: "n1", Incarnation: 7, Tables: map[string]uint64{"op": version(90)}}},
			Summaries: []gossip.Summary{{
				Zone: "a", Relay: "n1", Incarnation: 7, Hosts: 2, Tables: map[string]uint64{"op": version(90)},
				SteadyTables: map[string]uint64{"op": version(89)}, ConfigurationAgeMillis: map[uint64]int64{version(90): 300},
			}},
		},
		"changes": gossip.Changes{Table: "op", After: version(80), Version: version(90), Rows: []gossip.Change{
			{Key: "config", Value: []byte("v"), Version: version(90), Compressed: true, Base: version(80)}, {Key: "gone", Version: version(89), Deleted: true},
		}},
		"request": gossip.RowsRequest{Table: "op", From: "p:1", After: version(80), Compression: true},
		"response": gossip.RowsResponse{Table: "op", Version: version(90), Rows: []gossip.Row{
			{Key: "config", Value: []byte("v"), Version: version(90)}, {Key: "other", Version: version(80), Known: true},
		}},
	}
}

// generic decodes a message without knowledge of its type.
func generic(t *testing.T, data []byte) map[any]any {
	t.Helper()
	var decoded map[any]any
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// withoutEra removes an era from the parts of a decoded message that may have one, and returns
// how many had it.
func withoutEra(value any, era uint64) (removed int) {
	switch value := value.(type) {
	case map[any]any:
		for _, key := range []any{"Era", uint64(4), uint64(6), uint64(7), uint64(12), uint64(19)} {
			if value[key] == era {
				delete(value, key)
				removed++
			}
		}
		for _, part := range value {
			removed += withoutEra(part, era)
		}
	case []any:
		for _, part := range value {
			removed += withoutEra(part, era)
		}
	}
	return removed
}

// TestNodesOfEarlierBuildsAreUnderstood guards against a rolling update in which the nodes of
// both builds don't read each other's versions.
func TestNodesOfEarlierBuildsAreUnderstood(t *testing.T) {
	const era = 3001
	for name, plain := range plainMessages {
		data, err := hex.DecodeString(plain.encoded)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := gossip.Codec{}.Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, plain.message) {
			t.Errorf("%s of the earlier build: got %+v, error %v, want %+v, in era zero", name, decoded, err, plain.message)
		}
		for _, message := range []any{plain.message, messagesOf(era)[name]} {
			encoded, err := gossip.Codec{}.Encode(message)
			if err != nil {
				t.Fatal(err)
			}
			got, want := generic(t, encoded), generic(t, data)
			eras := withoutEra(got, era)
			if !reflect.DeepEqual(got, want) || (eras > 0) != (message != nil && !reflect.DeepEqual(message, plain.message)) {
				t.Errorf("%s for the earlier build, with the era in %d places: got %v, want %v beside the era", name, eras, got, want)
			}
		}
	}
}

// TestVersionsKeepTheirEraOnTheWay guards against facts of before a restore that look newer than
// those of after it at another node.
func TestVersionsKeepTheirEraOnTheWay(t *testing.T) {
	for name, message := range messagesOf(7) {
		encoded, err := gossip.Codec{}.Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := gossip.Codec{}.Decode(encoded)
		if err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%s: got %+v, error %v, want %+v", name, decoded, err, message)
		}
	}
}

// TestFactsOfAnEarlierEraAreLeftOut guards against a number of an earlier era that is read as
// one of the later era, and copies confirmed by it.
func TestFactsOfAnEarlierEraAreLeftOut(t *testing.T) {
	earlier, _ := mimosatide.NewRowVersion(1, 90)
	later, _ := mimosatide.NewRowVersion(2, 70)
	tables := map[string]uint64{"op": uint64(earlier), "servers": uint64(later)}
	digest, _ := transfer(t, gossip.Digest{
		Node: "n1", Tables: tables, ConfigurationAgeMillis: 40, CopyAgeMillis: map[string]int64{"servers": 40},
	})
	if want := map[string]uint64{"servers": uint64(later)}; !reflect.DeepEqual(digest.Tables, want) ||
		digest.ConfigurationAgeMillis != 0 || digest.CopyAgeMillis != nil {
		t.Errorf("got digest %+v, want tables %v and no ages", digest, want)
	}
	current := gossip.Digest{
		Node: "n1", Tables: map[string]uint64{"servers": uint64(later)}, CopyAgeMillis: map[string]int64{"servers": 40}, StoreLost: true,
	}
	if got, _ := transfer(t, current); !reflect.DeepEqual(got, current) {
		t.Errorf("got digest %+v, want %+v", got, current)
	}
	batch, _ := transfer(t, gossip.Batch{Summaries: []gossip.Summary{{
		Zone: "a", Tables: tables, SteadyTables: map[string]uint64{"op": uint64(earlier)},
		ConfigurationAgeMillis: map[uint64]int64{uint64(earlier): 40, uint64(later): 50},
	}}})
	summary := batch.Summaries[0]
	if len(summary.Tables) != 1 || len(summary.SteadyTables) != 0 || !reflect.DeepEqual(summary.ConfigurationAgeMillis, map[uint64]int64{uint64(later): 50}) {
		t.Errorf("got summary %+v, want facts of the later era only", summary)
	}
}

// TestEraOutOfRangeIsAnError guards against a message that is taken for one of another era.
func TestEraOutOfRangeIsAnError(t *testing.T) {
	for name, message := range messagesOf(65535) {
		encoded, err := gossip.Codec{}.Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		raised := false
		for index := range encoded {
			// The era is the only 16-bit number of the messages with this value.
			if encoded[index] == 0x19 && index+2 < len(encoded) && encoded[index+1] == 0xff && encoded[index+2] == 0xff {
				encoded = append(encoded[:index:index], append([]byte{0x1a, 0, 1, 0, 0}, encoded[index+3:]...)...)
				raised = true
				break
			}
		}
		if decoded, err := (gossip.Codec{}).Decode(encoded); err == nil || !raised {
			t.Errorf("%s with era 65536: got %+v, want an error", name, decoded)
		}
	}
}

// TestChangesOfTwoErasAreNotSent guards against a row that is decoded against the wrong base.
func TestChangesOfTwoErasAreNotSent(t *testing.T) {
	earlier, _ := mimosatide.NewRowVersion(1, 60)
	later, _ := mimosatide.NewRowVersion(2, 70)
	after, _ := mimosatide.NewRowVersion(2, 65)
	batch := mimosatide.RowBatch{Version: later, Rows: []mimosatide.RowChange{{Row: document(later)}}}
	if message, err := gossip.EncodeChanges("t", earlier, batch, nil, false); err == nil {
		t.Errorf("changes after a version of the earlier era: got %d rows, want an error", len(message.Rows))
	}
	message, err := gossip.EncodeChanges("t", after, batch, map[string]mimosatide.Row{"a": document(earlier)}, false)
	if err != nil || message.Rows[0].Base != 0 {
		t.Errorf("row whose known version is of the earlier era: got base %d, error %v, want none", message.Rows[0].Base, err)
	}
	response, err := gossip.NewCompressor().EncodeRows(
		gossip.RowsRequest{Table: "t", After: uint64(later)}, mimosatide.RowBatch{Version: earlier, Complete: true, Rows: []mimosatide.RowChange{{Row: document(earlier)}}})
	if err != nil || response.Rows[0].Known {
		t.Errorf("row of an earlier era than the request: got it left out, error %v, want it sent", err)
	}
}
