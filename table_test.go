package mimosatide_test

import (
	"testing"

	"mimosatide.example/mimosatide"
)

// TestVersionOfALaterEraIsTheHigherOne guards against a restored store whose new rows pass
// for older ones, because it gives out lower numbers again.
func TestVersionOfALaterEraIsTheHigherOne(t *testing.T) {
	before, err := mimosatide.NewRowVersion(1, 1<<48-1)
	if err != nil {
		t.Fatal(err)
	}
	after, err := mimosatide.NewRowVersion(2, 3)
	if err != nil {
		t.Fatal(err)
	}
	if after <= before {
		t.Errorf("got version %s not above %s, want the later era above the earlier one", after, before)
	}
	if after.Era() != 2 || after.Number() != 3 {
		t.Errorf("got era %d and number %d, want 2 and 3", after.Era(), after.Number())
	}
}

func TestVersionThatDoesNotFitIsRejected(t *testing.T) {
	for _, invalid := range [][2]uint64{{1 << 16, 1}, {1, 1 << 48}} {
		if version, err := mimosatide.NewRowVersion(invalid[0], invalid[1]); err == nil {
			t.Errorf("era %d, number %d: got version %s, want an error", invalid[0], invalid[1], version)
		}
	}
}
