package framing_test

import (
	"os"
	"testing"

	"mimosatide.example/mimosatide/internal/schedule"
)

func TestMain(m *testing.M) {
	os.Exit(schedule.Run(m, 300))
}
