package setting_test

import (
	"slices"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/setting"
)

func TestCheckReportsEveryFaultTogether(t *testing.T) {
	serve := setting.Serve{}
	serve.Callers = "nowhere"
	serve.Term = time.Millisecond
	var flags []string
	for _, fault := range serve.Check() {
		flags = append(flags, fault.Flag)
	}
	for _, flag := range []string{"callers", "peers", "zone", "host", "peer-secret", "term", "max-body"} {
		if !slices.Contains(flags, flag) {
			t.Errorf("got faults for %[2]v, want one for --%[1]s", flag, flags)
		}
	}
}
