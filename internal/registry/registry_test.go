package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

func instance(models ...string) mimosatide.Instance {
	created := mimosatide.Instance{ID: "i-1", Service: "llm", Address: "a:1", Slots: 4, Born: time.UnixMilli(7)}
	for _, model := range models {
		created.Holdings = append(created.Holdings, mimosatide.Holding{Model: model})
	}
	return created
}

func reportedHoldings(born int64, orders int64, models ...string) registry.ReportedHoldings {
	created := registry.ReportedHoldings{Instance: "i-1", Born: time.UnixMilli(born), Orders: orders}
	for _, model := range models {
		created.Holdings = append(created.Holdings, mimosatide.Holding{Model: model})
	}
	return created
}

func holds(targets *registry.Registry, model string) bool {
	known, found := targets.View().Instance("i-1")
	return found && known.Holds(model)
}

// A target updates its row some time after it has carried out an order, and reports may
// arrive out of order. Either would hide a model that the target holds.
func TestReportedHoldingsOverrideOlderRowAndOlderReport(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.SetHoldings(reportedHoldings(7, 3, "m2"))
	targets.Put(instance("m1"))
	if !holds(targets, "m2") || holds(targets, "m1") {
		t.Error("got m1 held or m2 not held, want only m2, which the report names and the row does not")
	}
	targets.SetHoldings(reportedHoldings(7, 2, "m1"))
	if !holds(targets, "m2") {
		t.Error("got m2 not held after a report with fewer orders, want the report with more orders to stay")
	}
}

// A report may arrive after its target has restarted. The new incarnation need not hold
// what the earlier one held.
func TestReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.SetHoldings(reportedHoldings(6, 9, "m2"))
	if holds(targets, "m2") {
		t.Error("got m2 held, want it not held: only a report of the earlier incarnation names it")
	}
}

func TestLeavingTargetIsNotListedForRequests(t *testing.T) {
	targets := registry.New(logr.Discard())
	leaving := instance("m1")
	leaving.Leaving = true
	targets.Put(leaving)
	if len(targets.View().Service("llm")) != 0 {
		t.Error("targets of the service: got the leaving target, want none")
	}
}

// In an outage of the store targets can't renew their rows, so that the rows of live
// targets expire. A target whose row does not reappear, or was deleted outside an outage, is
// gone.
func TestTargetIsKeptBrieflyAfterItsRowIsDeletedDuringRecovery(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, true, now)
	targets.Expire(now.Add(time.Second))
	if !holds(targets, "m1") {
		t.Error("1 s after its row was deleted during recovery: got the target removed, want it kept")
	}
	targets.Expire(now.Add(3 * time.Second))
	if holds(targets, "m1") {
		t.Error("3 s after its row was deleted during recovery: got the target kept, want it removed")
	}
	targets.Put(instance("m1"))
	targets.Delete("i-1", 9, false, now)
	if holds(targets, "m1") {
		t.Error("after its row was deleted outside an outage: got the target kept, want it removed")
	}
}

// A target that rejects a request for lack of its model knows better than its row and its
// owner's last report, which are older. Otherwise the request would be sent to it again.
func TestRefutedModelIsNotHeldUntilNextReport(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1", "m2"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now)
	if holds(targets, "m1") || !holds(targets, "m2") {
		t.Error("after m1 was refuted: got m1 held or m2 not held, want only m2")
	}
	targets.Put(instance("m1", "m2"))
	if holds(targets, "m1") {
		t.Error("after an unchanged row: got m1 held, want it refuted still")
	}
	targets.SetHoldings(reportedHoldings(7, 1, "m1"))
	if !holds(targets, "m1") {
		t.Error("after a report: got m1 refuted still, want it held")
	}
}

// Without an end, a refutation would hide a model for good if the owner publishes nothing.
func TestRefutationExpires(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	now := time.Now()
	targets.Refute("i-1", "m1", "", now.Add(-time.Minute))
	targets.Expire(now)
	if !holds(targets, "m1") {
		t.Error("one minute after the refutation: got m1 refuted still, want it held")
	}
}

// The target does not say whether it lacks the model or the adapter. Refuting the model at
// once would keep all its other requests from the target.
func TestAdapterIsRefutedBeforeItsModel(t *testing.T) {
	targets := registry.New(logr.Discard())
	target := instance("m1")
	target.Holdings[0].Adapters = []string{"a1", "a2"}
	targets.Put(target)
	targets.Refute("i-1", "m1", "a1", time.Now())
	known, _ := targets.View().Instance("i-1")
	if known.HoldsAdapter("m1", "a1") || !known.HoldsAdapter("m1", "a2") {
		t.Errorf("got holdings %v, want m1 with only adapter a2", known.Holdings)
	}
	targets.Refute("i-1", "m1", "a1", time.Now())
	if holds(targets, "m1") {
		t.Error("after a second refutation: got m1 held, want it refuted too")
	}
}

// The node may take a deletion for an effect of an outage that is none. Another node that
// read the deletion while it had no outage confirms it by its version.
func TestTargetIsRemovedOnceItsDeletionIsConfirmed(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", 12, true, time.Now())
	targets.ConfirmDeletions(11)
	if !holds(targets, "m1") {
		t.Error("deletions up to version 11 confirmed: got the target removed, want it kept, as it was deleted at version 12")
	}
	targets.ConfirmDeletions(12)
	if holds(targets, "m1") {
		t.Error("deletions up to version 12 confirmed: got the target kept, want it removed")
	}
}

// TestLeavingTargetStaysLeavingWithinItsIncarnation guards against requests at a target that
// has said that it leaves, after a late row, a lapsed one or a report called it ready.
func TestLeavingTargetStaysLeavingWithinItsIncarnation(t *testing.T) {
	listed := func(targets *registry.Registry) bool { return len(targets.View().Service("llm")) == 1 }
	leaving := instance("m1")
	leaving.Leaving = true
	sources := map[string]func(targets *registry.Registry){
		"answer": func(targets *registry.Registry) { targets.MarkLeaving(instance("m1"), time.Now()) },
		"peer":   func(targets *registry.Registry) { targets.MarkLeavingByPeer("i-1", time.UnixMilli(7), time.Now()) },
		"row":    func(targets *registry.Registry) { targets.Put(leaving) },
	}
	returns := map[string]func(targets *registry.Registry){
		"late row": func(targets *registry.Registry) { targets.Put(instance("m1")) },
		"lapsed row": func(targets *registry.Registry) {
			targets.Delete("i-1", 9, true, time.Now())
			targets.Put(instance("m1"))
		},
		"report": func(targets *registry.Registry) { targets.SetHoldings(reportedHoldings(7, 3, "m1")) },
		"sweep":  func(targets *registry.Registry) { targets.Expire(time.Now()) },
	}
	for source, leave := range sources {
		for name, comeBack := range returns {
			targets := registry.New(logr.Discard())
			targets.Put(instance("m1"))
			if leave(targets); listed(targets) {
				t.Errorf("leaving by its %s: got listed, want not listed", source)
			}
			if comeBack(targets); listed(targets) {
				t.Errorf("%s after it left by its %s: got listed, want not listed", name, source)
			}
			restarted := instance("m1")
			restarted.Born = time.UnixMilli(8)
			if targets.Put(restarted); !listed(targets) {
				t.Errorf("new incarnation after it left by its %s: got not listed, want listed", source)
			}
			if leave(targets); source != "row" && !listed(targets) {
				t.Errorf("late word of the earlier incarnation's %s: got not listed, want listed", source)
			}
		}
	}
}

func TestOnlyTargetsThatToldThisNodeAreReportedAsLeaving(t *testing.T) {
	targets := registry.New(logr.Discard())
	now := time.Now()
	targets.MarkLeavingByPeer("i-1", time.UnixMilli(7), now)
	if told := targets.ToldLeaving(now); len(told) != 0 {
		t.Errorf("after a peer's word: got %v reported, want none", told)
	}
	targets.MarkLeaving(instance(), now)
	if told := targets.ToldLeaving(now); len(told) != 1 || !told["i-1"].Equal(time.UnixMilli(7)) {
		t.Errorf("after an answer: got %v reported, want i-1 with its incarnation", told)
	}
	if told := targets.ToldLeaving(now.Add(time.Minute)); len(told) != 0 {
		t.Errorf("a minute later: got %v reported, want none", told)
	}
}

// TestManyNewTargetsAreLoggedInOneLine guards against a start of hundreds of nodes that logs a
// line for each node and target, and against lines for rows that say nothing new.
func TestManyNewTargetsAreLoggedInOneLine(t *testing.T) {
	lines := 0
	targets := registry.New(funcr.New(func(string, string) { lines++ }, funcr.Options{}))
	var instances []mimosatide.Instance
	for index := range 160 {
		instances = append(instances, mimosatide.Instance{ID: fmt.Sprintf("i-%d", index), Service: "llm", Born: time.UnixMilli(7)})
	}
	targets.PutAll(instances)
	if lines != 1 {
		t.Errorf("160 new targets: got %d lines, want 1", lines)
	}
	targets.PutAll(instances)
	if lines != 1 {
		t.Errorf("the same rows again: got %d lines more, want none", lines-1)
	}
	instances[3].Leaving = true
	targets.PutAll(instances)
	if lines != 2 {
		t.Errorf("one target that leaves: got %d lines more, want 1", lines-1)
	}
}

// TestDeletionOfAnotherEraIsNotConfirmed guards against a live target that is removed by a
// version that says nothing of its row, because the store was restored in between.
func TestDeletionOfAnotherEraIsNotConfirmed(t *testing.T) {
	deleted, _ := mimosatide.NewRowVersion(2, 70)
	later, _ := mimosatide.NewRowVersion(3, 90)
	targets := registry.New(logr.Discard())
	targets.Put(instance("m1"))
	targets.Delete("i-1", deleted, true, time.Now())
	for _, version := range []mimosatide.RowVersion{90, later} {
		targets.ConfirmDeletions(version)
		if !holds(targets, "m1") {
			t.Fatalf("deletions up to %s confirmed: got the target removed, want it kept, as it was deleted at %s", version, deleted)
		}
	}
	targets.ConfirmDeletions(deleted)
	if holds(targets, "m1") {
		t.Error("the deletion itself confirmed: got the target kept, want it removed")
	}
}

// A row of another writer names another version for a target that goes on serving. Neither may be
// believed: a stream would go on at the wrong version.
func TestIncarnationThatNamesTwoVersionsHasNone(t *testing.T) {
	targets := registry.New(logr.Discard())
	put := func(software string, born int64) string {
		targets.Put(mimosatide.Instance{ID: "i-1", Service: "llm", Software: software, Born: time.UnixMilli(born)})
		instance, _ := targets.View().Instance("i-1")
		return instance.Software
	}
	for _, step := range []struct {
		software string
		born     int64
		want     string
	}{{"v1", 1, "v1"}, {"", 1, "v1"}, {"v2", 1, ""}, {"v1", 1, ""}, {"v2", 2, "v2"}, {"v2", 2, "v2"}} {
		if got := put(step.software, step.born); got != step.want {
			t.Errorf("row with software %q, born %d: got %q, want %q", step.software, step.born, got, step.want)
		}
	}
	if got := targets.View().Software("llm"); len(got) != 1 || got[0] != "v2" {
		t.Errorf("got versions %v, want v2", got)
	}
}

// A target has started anew under its id, and its owner has loaded a model there. Until its row
// comes, nobody knows the software that writes its streams.
func TestTargetOfAnUnknownIncarnationHoldsNothing(t *testing.T) {
	targets := registry.New(logr.Discard())
	targets.Put(mimosatide.Instance{
		ID: "i-1", Service: "llm", Software: "v1", Born: time.UnixMilli(1), Holdings: []mimosatide.Holding{{Model: "m"}},
	})
	targets.SetHoldings(registry.ReportedHoldings{
		Instance: "i-1", Born: time.UnixMilli(2), Orders: 1, Holdings: []mimosatide.Holding{{Model: "m"}},
	})
	if instance, _ := targets.View().Instance("i-1"); instance.Holds("m") {
		t.Errorf("got %+v, want no holdings", instance)
	}
	targets.Put(mimosatide.Instance{ID: "i-1", Service: "llm", Software: "v2", Born: time.UnixMilli(2)})
	if instance, _ := targets.View().Instance("i-1"); !instance.Holds("m") || instance.Software != "v2" {
		t.Errorf("got %+v, want the model at v2", instance)
	}
}
