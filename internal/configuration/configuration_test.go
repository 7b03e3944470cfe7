package configuration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
)

const keyDigest = mimosatide.KeyDigest("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")

func change(section configuration.Section, name, value string) configuration.Change {
	return configuration.Change{Section: section, Name: name, Value: []byte(value)}
}

func baseDocument(t *testing.T) *configuration.Document {
	t.Helper()
	document, err := configuration.NewDocument().WithChanges([]configuration.Change{
		change(configuration.AccountSection, "schools", `{"RateTokensPerSecond":1000,"BurstTokens":2000,"Weight":1,"Priority":0}`),
		change(configuration.KeySection, string(keyDigest), `{"Account":"schools","Withdrawn":false}`),
		change(configuration.TargetSection, "engine-1",
			`{"Kind":"Engine","Address":"127.0.0.1:1","Host":"h","Zone":"a","MemoryBytes":1,"ChecksFencing":true}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func TestPatchReturnsChangesOrFaults(t *testing.T) {
	formats := map[string]configuration.PatchFormat{"merge": configuration.MergePatch, "list": configuration.ListPatch}
	datadriven.RunTest(t, "testdata/patches", func(t *testing.T, data *datadriven.TestData) string {
		changes, faults := configuration.Patch(baseDocument(t), formats[data.Cmd], []byte(data.Input))
		var lines []string
		for _, fault := range faults {
			lines = append(lines, fault.Path+": "+fault.Message)
		}
		for _, change := range changes {
			line := fmt.Sprintf("%s/%s", change.Section, change.Name)
			if len(change.Value) == 0 {
				line += " (deleted)"
			}
			lines = append(lines, line)
		}
		if len(lines) == 0 {
			return "no changes\n"
		}
		return strings.Join(lines, "\n") + "\n"
	})
}

func TestDocumentIsUnchangedByEncodingAndDecoding(t *testing.T) {
	before, err := baseDocument(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := configuration.Decode(before)
	if err != nil {
		t.Fatal(err)
	}
	after, err := decoded.Encode()
	if err != nil || string(after) != string(before) {
		t.Fatalf("encode the decoded document: error %v, want none\nwant %s\ngot  %s", err, before, after)
	}
}

// TestProposedWithdrawalAppliesBeforeAcceptance covers a node that learns late that a
// proposal was accepted: a key must be valid in the document in force and in the
// proposed one.
func TestProposedWithdrawalAppliesBeforeAcceptance(t *testing.T) {
	store := configuration.NewStore()
	store.Load(1, baseDocument(t))
	withdrawal := []configuration.Change{change(configuration.KeySection, string(keyDigest), `{"Account":"schools","Withdrawn":true}`)}
	if err := store.Propose(withdrawal); err != nil {
		t.Fatal(err)
	}
	if _, reason := store.View().Authenticate(keyDigest); reason != mimosatide.ReasonKeyWithdrawn {
		t.Fatalf("got reason %q for a key whose withdrawal is proposed, want KeyWithdrawn", reason)
	}
	store.DropProposal()
	if _, reason := store.View().Authenticate(keyDigest); reason != "" {
		t.Fatalf("got reason %q once the proposal is rejected, want none", reason)
	}
	granted := []configuration.Change{change(configuration.KeySection, strings.Repeat("b", 64), `{"Account":"schools","Withdrawn":false}`)}
	if err := store.Propose(granted); err != nil {
		t.Fatal(err)
	}
	if _, reason := store.View().Authenticate(mimosatide.KeyDigest(strings.Repeat("b", 64))); reason != mimosatide.ReasonUnknownKey {
		t.Fatalf("got reason %q for a key that is only proposed, want UnknownKey", reason)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, keys := range []int{10, 37000} {
		var changes []configuration.Change
		changes = append(changes, change(configuration.AccountSection, "schools", `{"RateTokensPerSecond":1,"BurstTokens":2,"Weight":1}`))
		for index := range keys {
			digest := string(mimosatide.DigestKey(fmt.Sprint(index)))
			changes = append(changes, change(configuration.KeySection, digest, `{"Account":"schools"}`))
		}
		store := configuration.NewStore()
		if err := store.Apply(1, changes); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				store.View().Authenticate(mimosatide.DigestKey("7"))
			}
		})
	}
}
