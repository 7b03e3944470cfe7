package decisionlog_test

import (
	"strings"
	"testing"

	"mimosatide.example/mimosatide/internal/decisionlog"
)

const log = `time=2026-04-26T18:04:00Z level=INFO msg="store lost" table=op version=4 reason="dial tcp: i/o timeout"
time=2026-04-26T18:04:40Z level=INFO msg="placement decided" service=llm target=i-1 model=m1 victims=[m2] tier=Disk reason=Waiting
time=2026-04-26T18:04:40Z level=INFO msg="placement decided" service=llm target=i-2 model=m3 victims=[] tier=Disk reason=Waiting
 4.5064 entry-1 time=2026-04-26T18:04:44Z level=INFO msg="lease given up" lease=orders/llm term=3
time=2026-04-26T18:04:45Z level=INFO msg="request ended" request=r-2 service=llm model=m3 target=i-2 status=200 took=1s
time=2026-04-26T18:04:46Z level=INFO msg="request ended" request=r-1 service=llm model=m1 target="" status=503 detail="no \"target\" in time" took=3.5s
time=2026-04-26T18:04:47Z level=INFO msg="target gone" target=i-1 service=llm
a line of another program`

func TestParseReadsQuotedAndPlainValues(t *testing.T) {
	line := decisionlog.Parse(strings.Split(log, "\n")[5])
	if line.Fields["detail"] != `no "target" in time` || line.Fields["took"] != "3.5s" || line.Fields["target"] != "" {
		t.Errorf("got fields %q, want a quoted detail, took 3.5s and an empty target", line.Fields)
	}
	if line.Time().Second() != 46 {
		t.Errorf("got time %s, want second 46", line.Time())
	}
}

func TestExplainReturnsRequestAndRelatedLines(t *testing.T) {
	lines, err := decisionlog.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var summaries []string
	for _, line := range decisionlog.Explain(lines, "r-1") {
		summaries = append(summaries, line.Fields["msg"]+" "+line.Fields["model"])
	}
	want := "placement decided m1,lease given up ,request ended m1"
	if got := strings.Join(summaries, ","); got != want {
		t.Errorf("got lines %q, want %q", got, want)
	}
}

func TestExplainReturnsNothingForUnknownRequest(t *testing.T) {
	lines, err := decisionlog.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if explaining := decisionlog.Explain(lines, "r-9"); len(explaining) != 0 {
		t.Errorf("got lines %+v, want none", explaining)
	}
}
