package intake_test

import (
	"testing"

	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/intake"
)

// Hostile callers must neither take more than the budget together, nor keep a small request from
// being read, nor leave memory counted after they are gone.
func TestRequestsStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1<<16, 1<<24).Draw(t, "size")
		budget := intake.NewBudget(size)
		holds := make([]*intake.Hold, 20)
		for index := range holds {
			holds[index] = budget.NewHold()
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			hold := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			if rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				hold.Release()
			}
			alone := budget.Used() == 0
			granted := hold.Grow(rapid.Int64Range(0, size).Draw(t, "bytes"))
			if alone && !granted {
				t.Fatal("only request: got no memory, want all of the budget")
			}
			if !budget.NewHold().Grow(intake.FreeBytes) {
				t.Fatal("small request: got no memory, want its free bytes")
			}
			if used := budget.Used(); used > size {
				t.Fatalf("got %d bytes used of a budget of %d", used, size)
			}
		}
		for _, hold := range holds {
			hold.Release()
		}
		if used := budget.Used(); used != 0 {
			t.Fatalf("got %d bytes used after all holds were released", used)
		}
	})
}

// One request must not take what smaller ones need: large bodies that never end would otherwise
// hold all of the budget.
func TestLargeRequestsLeaveRoomForSmallerOnes(t *testing.T) {
	const size, largest = 8 << 20, 4 << 20
	budget := intake.NewBudget(size)
	for range 60 {
		hold := budget.NewHold()
		for bytes := int64(16 << 10); bytes <= largest && hold.Grow(bytes); bytes *= 2 {
		}
	}
	if !budget.Pressed() {
		t.Errorf("60 large requests: got %d of %d bytes used, want more than half", budget.Used(), size)
	}
	if left := size - budget.Used(); left <= 0 {
		t.Errorf("60 large requests: got %d bytes left, want some", left)
	}
	if !budget.NewHold().Grow(intake.FreeBytes + 4<<10) {
		t.Error("request of 12 KB beside 60 large ones: got no memory, want it granted")
	}
}
