package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/quarantine"
)

var start = time.Unix(1000, 0)

// at returns a time in seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// request returns the features of a request that is like no other one but for its parts.
func request(content uint64, parts ...string) quarantine.Features {
	return quarantine.NewFeatures(content, parts)
}

func held(tracker *quarantine.Tracker, now time.Time, parts ...string) bool {
	return tracker.Holds(request(99999, parts...), now)
}

// TestPartThatCrashesTargetsIsQuarantined guards against requests with one deadly part that
// crash one target after the other, because no two of them are alike.
func TestPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	for crash := range uint64(3) {
		if held(tracker, at(float64(crash)), "common", "deadly") {
			t.Errorf("after %d crashes: got quarantined, want not yet", crash)
		}
		now := at(float64(crash))
		tracker.Suspect(crash, request(crash, "common", "deadly"), now)
		tracker.Suspect(crash, request(100+crash, "common", fmt.Sprint("sound", crash)), now)
		tracker.Acquit(request(200+crash, "common", "sound"), now.Add(time.Millisecond))
	}
	now := at(3)
	if !held(tracker, now, "other", "deadly") {
		t.Error("part of three crashes: got not quarantined, want quarantined whatever else the request has")
	}
	if held(tracker, now, "common", "sound") || held(tracker, now, "common", "sound1") {
		t.Error("parts that sound requests have: got quarantined, want not")
	}
}

// TestPartsOfADeadlyPartsRequestsAreNotQuarantined guards against refusing sound requests
// that share a part with deadly ones, if no sound one was answered between the crashes.
func TestPartsOfADeadlyPartsRequestsAreNotQuarantined(t *testing.T) {
	for _, parts := range [][]string{{"common", "deadly"}, {"deadly", "common"}} {
		tracker := quarantine.New(logr.Discard())
		tracker.Acquit(request(1, "common", "sound"), at(0))
		for crash := range uint64(6) {
			now := at(1 + float64(crash)/5)
			if held(tracker, now, parts...) {
				break
			}
			tracker.Suspect(crash, request(10+crash, parts...), now)
		}
		if now := at(3); held(tracker, now, "common") || !held(tracker, now, parts...) {
			t.Errorf("%v: got common quarantined %v and both %v, want only both",
				parts, held(tracker, now, "common"), held(tracker, now, parts...))
		}
		tracker.Suspect(20, request(20, "other", "deadly"), at(4))
		if now := at(4); held(tracker, now, "common", "other") || !held(tracker, now, "deadly") {
			t.Errorf("%v, after a crash of a request with another part: got common quarantined %v and deadly %v, want only deadly",
				parts, held(tracker, now, "common", "other"), held(tracker, now, "deadly"))
		}
	}
}

// TestSharedPartIsReleasedOnceAnotherExplainsItsCrashes guards against refusing sound
// requests for minutes after a node judged before it had the evidence of its peers: the
// last crash it knew of only by a sound request that was waiting there too.
func TestSharedPartIsReleasedOnceAnotherExplainsItsCrashes(t *testing.T) {
	early, peer := quarantine.New(logr.Discard()), quarantine.New(logr.Discard())
	for crash := range uint64(3) {
		now := at(float64(crash))
		peer.Suspect(crash, request(crash, "common", "session", "deadly"), now)
		early.Apply(peer.Report(now), now)
		peer.Apply(early.Report(now), now)
	}
	early.Suspect(3, request(100, "common", "other"), at(3))
	if !held(early, at(3), "common") {
		t.Fatal("four crashes under one part, three under the others: got not quarantined, want quarantined")
	}
	peer.Apply(early.Report(at(3.05)), at(3.05))
	peer.Suspect(3, request(3, "common", "session", "deadly"), at(3.1))
	early.Apply(peer.Report(at(3.2)), at(3.2))
	peer.Apply(early.Report(at(3.4)), at(3.4))
	early.Apply(peer.Report(at(3.6)), at(3.6))
	for name, tracker := range map[string]*quarantine.Tracker{"early": early, "peer": peer} {
		if held(tracker, at(4), "common", "session") || !held(tracker, at(4), "common", "session", "deadly") {
			t.Errorf("%s: got the shared parts quarantined %v and with the deadly one %v, want only with the deadly one",
				name, held(tracker, at(4), "common", "session"), held(tracker, at(4), "common", "session", "deadly"))
		}
	}
}

// TestPartIsReleasedWhenADeeperOneTurnsOutToHaveItsCrashesToo guards against refusing sound
// requests for minutes after a node judged by three crashes, of the last of which it knew
// only by a sound request that was waiting there. No further crash follows, since the
// deadly requests have the part too.
func TestPartIsReleasedWhenADeeperOneTurnsOutToHaveItsCrashesToo(t *testing.T) {
	early, peer := quarantine.New(logr.Discard()), quarantine.New(logr.Discard())
	for crash := range uint64(2) {
		now := at(float64(crash))
		peer.Suspect(crash, request(crash, "common", "session", "deadly"), now)
		early.Apply(peer.Report(now), now)
	}
	early.Suspect(2, request(100, "common", "other"), at(2))
	if !held(early, at(2), "common") {
		t.Fatal("three crashes under one part, two under the others: got not quarantined, want quarantined")
	}
	peer.Suspect(2, request(2, "common", "session", "deadly"), at(2))
	peer.Apply(early.Report(at(2.1)), at(2.1))
	early.Apply(peer.Report(at(2.2)), at(2.2))
	peer.Apply(early.Report(at(2.4)), at(2.4))
	for name, tracker := range map[string]*quarantine.Tracker{"early": early, "peer": peer} {
		if held(tracker, at(2.5), "common", "other") {
			t.Errorf("%s: three crashes under three parts: got the first part quarantined, want not", name)
		}
	}
	peer.Suspect(3, request(3, "common", "session", "deadly"), at(3))
	early.Apply(peer.Report(at(3.1)), at(3.1))
	for name, tracker := range map[string]*quarantine.Tracker{"early": early, "peer": peer} {
		if held(tracker, at(4), "common", "other") || !held(tracker, at(4), "common", "session", "deadly") {
			t.Errorf("%s: after four crashes: got the first part quarantined %v and all three %v, want only all three",
				name, held(tracker, at(4), "common", "other"), held(tracker, at(4), "common", "session", "deadly"))
		}
	}
}

// TestHastyQuarantineIsReleasedWhenAllReportsMakeItDoubtful guards against refusing sound
// requests for minutes after a node judged before the report came that another part has as
// many crashes.
func TestHastyQuarantineIsReleasedWhenAllReportsMakeItDoubtful(t *testing.T) {
	early, peer := quarantine.New(logr.Discard()), quarantine.New(logr.Discard())
	for crash := range uint64(2) {
		now := at(float64(crash))
		peer.Suspect(crash, request(crash, "deadly"), now)
		early.Apply(peer.Report(now), now)
		early.Suspect(crash, request(100+crash, "waiting"), now)
	}
	early.Suspect(2, request(102, "waiting"), at(2))
	if !held(early, at(2), "waiting") {
		t.Fatal("three crashes under one part, two under another: got not quarantined, want quarantined")
	}
	peer.Suspect(2, request(2, "deadly"), at(2))
	early.Apply(peer.Report(at(2.2)), at(2.2))
	peer.Apply(early.Report(at(2.3)), at(2.3))
	if held(early, at(2.5), "waiting") || held(peer, at(2.5), "waiting") {
		t.Error("three crashes under either of two parts: got a bystander's part quarantined, want not, here and at the peer")
	}
	peer.Suspect(3, request(3, "deadly"), at(3))
	early.Apply(peer.Report(at(3.1)), at(3.1))
	for name, tracker := range map[string]*quarantine.Tracker{"early": early, "peer": peer} {
		if held(tracker, at(4), "waiting") || !held(tracker, at(4), "deadly") {
			t.Errorf("%s: after a fourth crash: got the bystander's part quarantined %v and the deadly one %v, want only the deadly one",
				name, held(tracker, at(4), "waiting"), held(tracker, at(4), "deadly"))
		}
	}
}

// TestCrashesThatAreExplainedDoNotCountAgainstBystanders guards against refusing requests
// that wait at the targets which others crash.
func TestCrashesThatAreExplainedDoNotCountAgainstBystanders(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	for crash := range uint64(10) {
		now := at(float64(crash))
		tracker.Suspect(crash, request(crash, "common", "session", "deadly"), now)
		if crash >= 4 {
			tracker.Suspect(crash, request(100+crash, "waiting", "waiting-session"), now)
		}
	}
	if held(tracker, at(11), "waiting") || held(tracker, at(11), "waiting-session") ||
		!held(tracker, at(11), "common", "session", "deadly") {
		t.Error("after ten crashes: got the parts of a bystander quarantined, want only those of the deadly requests")
	}
}

// TestPartIsQuarantinedThoughEachOfItsRequestsIs guards against requests with one deadly part each of
// which is sent again and crashes a second target: the quarantine of each by its content must not
// hide what they have in common.
func TestPartIsQuarantinedThoughEachOfItsRequestsIs(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	crash := uint64(0)
	for content := range uint64(3) {
		for range 2 {
			now := at(float64(crash))
			tracker.Suspect(crash, request(content, "common", "deadly"), now)
			tracker.Suspect(crash, request(100+crash, "shared", fmt.Sprint("waiting", crash)), now)
			tracker.Acquit(request(200+crash, "common", "sound"), now.Add(time.Millisecond))
			crash++
		}
	}
	now := at(float64(crash))
	if !held(tracker, now, "other", "deadly") {
		t.Error("part of six crashes under three requests: got not quarantined, want quarantined")
	}
	if held(tracker, now, "common", "sound") || held(tracker, now, "shared", "sound") {
		t.Error("parts of sound requests: got quarantined, want not")
	}
}

// TestPartAtTheStartIsQuarantinedWhateverFollowsIt guards against a quarantine of a part
// that only follows the deadly one in some of its requests.
func TestPartAtTheStartIsQuarantinedWhateverFollowsIt(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	crashes := uint64(0)
	for ; crashes < 4; crashes++ {
		tracker.Suspect(crashes, request(crashes, "deadly", "session"), at(float64(crashes)))
	}
	for ; crashes < 10 && !held(tracker, at(float64(crashes)), "deadly"); crashes++ {
		tracker.Suspect(crashes, request(crashes, "deadly", "other"), at(float64(crashes)))
	}
	if crashes > 5 {
		t.Errorf("deadly part: got quarantined after %d crashes, want after 5 at most", crashes)
	}
}

// TestRepeatedRequestCountsOnceAgainstItsParts guards against refusing what shares a part
// with a request that crashes targets by its content and is sent again and again.
func TestRepeatedRequestCountsOnceAgainstItsParts(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	for crash := range uint64(8) {
		tracker.Suspect(crash, request(7, "common"), at(float64(crash)))
	}
	if !tracker.Holds(request(7, "common"), at(9)) || held(tracker, at(9), "common") {
		t.Error("one request at eight crashes: got its part quarantined, want only its content")
	}
}

// TestTargetsThatCrashTogetherPutNothingInQuarantine guards against refusing what is most
// asked for after a part of the targets has crashed for another reason.
func TestTargetsThatCrashTogetherPutNothingInQuarantine(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	tracker.Acquit(request(1, "common"), at(0))
	for crash := range uint64(8) {
		now := at(1 + float64(crash)/100)
		tracker.Suspect(crash, request(1, "common"), now)
		tracker.Suspect(crash, request(10+crash, "common", "rare"), now)
	}
	now := at(2)
	if tracker.Holds(request(1, "common"), now) || held(tracker, now, "common", "rare") {
		t.Error("after eight targets crashed together: got a quarantine, want none")
	}
}

func TestRequestThatCrashedTwoTargetsIsQuarantined(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	tracker.Suspect(1, request(7, "common"), at(1))
	tracker.Suspect(1, request(7, "common"), at(1.2))
	if tracker.Holds(request(7, "common"), at(2)) {
		t.Error("after one crash: got quarantined, want not")
	}
	tracker.Suspect(2, request(7, "common"), at(3))
	if !tracker.Holds(request(7, "common"), at(4)) {
		t.Error("after two crashes: got not quarantined, want quarantined")
	}
	if held(tracker, at(4), "common") {
		t.Error("part of the request: got quarantined, want not")
	}
}

// TestAnswerEndsAQuarantine guards against a sound part that stays refused: a request that
// was under way when its part was quarantined may show that it is sound.
func TestAnswerEndsAQuarantine(t *testing.T) {
	tracker, peer := quarantine.New(logr.Discard()), quarantine.New(logr.Discard())
	for crash := range uint64(3) {
		tracker.Suspect(crash, request(crash, "part"), at(float64(crash)))
	}
	peer.Apply(tracker.Report(at(2.1)), at(2.2))
	if !held(peer, at(2.2), "part") {
		t.Fatal("quarantine of a peer: got not held, want held")
	}
	tracker.Acquit(request(50, "part"), at(3))
	peer.Apply(tracker.Report(at(3.1)), at(3.2))
	if held(tracker, at(3.3), "part") || held(peer, at(3.3), "part") {
		t.Error("after a good answer: got quarantined, want not, here and at the peer")
	}
	late := quarantine.New(logr.Discard())
	for crash := range uint64(3) {
		late.Suspect(crash, request(crash, "part"), at(float64(crash)))
	}
	if tracker.Apply(late.Report(at(3.4)), at(3.4)); held(tracker, at(3.5), "part") {
		t.Error("late report of a peer that does not know of the answer: got quarantined, want not")
	}
}

func TestSuspicionsOfAllNodesCount(t *testing.T) {
	trackers := []*quarantine.Tracker{quarantine.New(logr.Discard()), quarantine.New(logr.Discard()), quarantine.New(logr.Discard())}
	for crash, tracker := range trackers {
		now := at(float64(crash))
		tracker.Suspect(uint64(crash), request(uint64(crash), "part"), now)
		for _, other := range trackers {
			other.Apply(tracker.Report(now), now.Add(200*time.Millisecond))
			other.Apply(tracker.Report(now), now.Add(400*time.Millisecond))
		}
	}
	for index, tracker := range trackers {
		if !held(tracker, at(3), "part") {
			t.Errorf("node %d after three crashes at three nodes: got not quarantined, want quarantined", index)
		}
	}
}

// TestQuarantineAndSuspicionsEnd guards against counts of nodes that are gone, or of an
// earlier hour, which refuse requests for ever.
func TestQuarantineAndSuspicionsEnd(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	tracker.Suspect(1, request(1, "part"), at(0))
	tracker.Suspect(2, request(2, "part"), at(1))
	tracker.Suspect(3, request(3, "part"), at(600))
	if held(tracker, at(601), "part") {
		t.Error("crashes ten minutes apart: got quarantined, want not")
	}
	tracker.Suspect(4, request(4, "part"), at(601))
	tracker.Suspect(5, request(5, "part"), at(602))
	if !held(tracker, at(603), "part") || held(tracker, at(1300), "part") {
		t.Error("got not quarantined at once or for more than ten minutes, want quarantined for some minutes")
	}
}

// TestPartIsQuarantinedAgainAtOnce guards against a deadly part that crashes as many
// targets again after each quarantine.
func TestPartIsQuarantinedAgainAtOnce(t *testing.T) {
	tracker := quarantine.New(logr.Discard())
	for crash := range uint64(4) {
		tracker.Suspect(crash, request(crash, "common", "deadly"), at(float64(crash)))
	}
	if !held(tracker, at(4), "common", "deadly") || held(tracker, at(400), "common", "deadly") {
		t.Fatal("got not quarantined, or for more than six minutes, want quarantined for some minutes")
	}
	tracker.Suspect(10, request(10, "common", "deadly"), at(401))
	if !held(tracker, at(401), "common", "deadly") || held(tracker, at(401), "common") {
		t.Error("crash after the quarantine: got not quarantined again, or another part too, want as before")
	}
	tracker.Acquit(request(11, "common", "deadly"), at(402))
	tracker.Suspect(12, request(12, "common", "deadly"), at(403))
	if held(tracker, at(403), "common", "deadly") {
		t.Error("crash after a good answer: got quarantined, want as many crashes needed as at first")
	}
}
