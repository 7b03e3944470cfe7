package relay_test

import (
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/relay"
)

var start = time.Unix(1000, 0)

func hosts() []relay.Host {
	return []relay.Host{
		{Name: "small-1", Address: "s1", Zone: "a", CPUShare: 0.2},
		{Name: "large-2", Address: "l2", Zone: "a", CPUShare: 0.8},
		{Name: "large-1", Address: "l1", Zone: "a", CPUShare: 0.8},
		{Name: "other", Address: "o", Zone: "b", CPUShare: 0.8},
	}
}

// choose sets the hosts, records a digest of each at digestAt and returns the address of the chosen relay.
func choose(t *testing.T, chooser *relay.Chooser, zone string, digestAt, now time.Time) string {
	t.Helper()
	chooser.SetHosts(hosts())
	for _, host := range hosts() {
		chooser.DigestReceived(host.Address, digestAt)
	}
	host, found := chooser.Choose(zone, now)
	if !found {
		t.Fatalf("no relay chosen for zone %s", zone)
	}
	return host.Address
}

func TestHostWithLargestCPUShareOfTheZoneIsChosen(t *testing.T) {
	chooser := relay.New("s1")
	if got := choose(t, chooser, "a", start, start); got != "l1" {
		t.Errorf("relay of zone a: got %s, want l1", got)
	}
	if got := choose(t, chooser, "b", start, start); got != "o" {
		t.Errorf("relay of zone b: got %s, want o", got)
	}
	if _, found := chooser.Choose("c", start); found {
		t.Error("got a relay for a zone without hosts, want none")
	}
}

func TestSilentRelayIsExcludedUntilADigestOfItArrives(t *testing.T) {
	chooser := relay.New("s1")
	choose(t, chooser, "a", start, start)
	now := start.Add(time.Second)
	if got := choose(t, chooser, "a", start, now); got != "l2" {
		t.Fatalf("after l1 was silent: got %s, want l2", got)
	}
	later := now
	for range 100 {
		later = later.Add(100 * time.Millisecond)
		chooser.MessageReceived("l2", later)
		if got := choose(t, chooser, "a", start, later); got != "l2" {
			t.Fatalf("without a digest of l1: got %s, want l2", got)
		}
	}
	if got := choose(t, chooser, "a", later, later); got != "l1" {
		t.Errorf("after a digest of l1: got %s, want l1", got)
	}
}

func TestNodeNeverExcludesItselfAsSilent(t *testing.T) {
	chooser := relay.New("l1")
	choose(t, chooser, "a", start, start)
	if got := choose(t, chooser, "a", start, start.Add(time.Hour)); got != "l1" {
		t.Errorf("got %s, want l1", got)
	}
}

func TestExclusionsAreClearedWhenAllHostsAreSilent(t *testing.T) {
	chooser := relay.New("o")
	now := start
	seen := map[string]bool{}
	for range 50 {
		seen[choose(t, chooser, "a", start, now)] = true
		now = now.Add(time.Second)
	}
	if len(seen) != 3 {
		t.Errorf("chosen hosts: got %v, want all 3 of the zone", seen)
	}
}

func TestStrongHostWithoutTheStoreIsChosenBeforeAWeakOne(t *testing.T) {
	chooser := relay.New("s1")
	chooser.SetHosts(hosts())
	for _, step := range []struct{ storeOutage, want string }{{"l1", "l2"}, {"l2", "l1"}} {
		chooser.MarkStoreOutage(step.storeOutage, start)
		if host, _ := chooser.Choose("a", start); host.Address != step.want {
			t.Errorf("got %s after a store outage of %s, want the other strong host", host.Address, step.storeOutage)
		}
	}
	later := start.Add(time.Minute)
	chooser.MessageReceived("l1", later)
	if host, _ := chooser.Choose("a", later); host.Address != "l1" {
		t.Errorf("a minute after the outage: got %s, want l1", host.Address)
	}
}
