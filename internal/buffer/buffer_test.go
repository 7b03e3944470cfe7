package buffer_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/buffer"
)

// TestBufferEndsAtItsLimit guards against answers that are cut at the limit without an
// error, and against ones within it that are taken for too large.
func TestBufferEndsAtItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 100_000).Draw(t, "limit")
		length := rapid.IntRange(0, 2).Draw(t, "over") + limit - 1
		want := bytes.Repeat([]byte("x"), length)
		source := io.Reader(bytes.NewReader(want))
		if rapid.Bool().Draw(t, "with the end") {
			source = iotest.DataErrReader(source)
		}
		held := buffer.NewBudget(1 << 20).NewBuffer(limit)
		err := held.Fill(source)
		rest, _ := io.ReadAll(source)
		if got := append(bytes.Clone(held.Bytes()), rest...); !bytes.Equal(got, want) {
			t.Fatalf("%d bytes: got %d of them with the rest", length, len(got))
		}
		if length <= limit && err != nil || length > limit && !errors.Is(err, buffer.ErrTooLarge) {
			t.Fatalf("%d bytes with a limit of %d: got error %v", length, limit, err)
		}
	})
}

// TestBuffersStayWithinTheirBudget guards against buffers that together take more memory
// than they may, or that don't give it back.
func TestBuffersStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(0, 1<<20).Draw(t, "size")
		budget := buffer.NewBudget(size)
		buffers := make([]*buffer.Buffer, 8)
		for index := range buffers {
			buffers[index] = budget.NewBuffer(1 << 18)
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			held := buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")]
			before := len(held.Bytes())
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				held.Reset()
			case 1:
				held.Release()
			case 2:
				count := rapid.IntRange(0, 1<<18).Draw(t, "count")
				if err := held.Append(make([]byte, count)); err == nil && len(held.Bytes()) != before+count ||
					err != nil && len(held.Bytes()) != before {
					t.Fatalf("appending %d to %d bytes: got %d bytes and error %v", count, before, len(held.Bytes()), err)
				}
			default:
				source := strings.NewReader(strings.Repeat("x", rapid.IntRange(0, 1<<18).Draw(t, "count")))
				if err := held.Fill(source); err == nil && source.Len() > 0 {
					t.Fatalf("got no error and %d bytes left", source.Len())
				}
			}
			if used, kept := budget.Used(), budget.Kept(); used+kept > size || kept > size/4 {
				t.Fatalf("got %d bytes used and %d kept of a budget of %d", used, kept, size)
			}
		}
		for _, held := range buffers {
			held.Release()
		}
		if used := budget.Used(); used != 0 {
			t.Fatalf("got %d bytes used after all buffers were released", used)
		}
	})
}

// TestSmallAnswersAlwaysFit guards against sound answers that fail because faulty targets
// have filled the budget.
func TestSmallAnswersAlwaysFit(t *testing.T) {
	budget := buffer.NewBudget(100_000)
	hog := budget.NewBuffer(1 << 20)
	if err := hog.Fill(neverEnding{}); !errors.Is(err, buffer.ErrNoMemory) {
		t.Fatalf("answer without end: got error %v, want ErrNoMemory", err)
	}
	held := budget.NewBuffer(1 << 20)
	if err := held.Fill(strings.NewReader(strings.Repeat("x", 10_000))); err != nil {
		t.Errorf("answer of 10 KB beside one that fills the budget: got error %v", err)
	}
	if err := budget.NewBuffer(1 << 20).Append(make([]byte, 200_000)); !errors.Is(err, buffer.ErrNoMemory) {
		t.Errorf("answer above the budget: got error %v, want ErrNoMemory", err)
	}
}

// TestRepeatedContentMakesNoGarbage guards against the garbage of a buffer that doubles again for
// each event of a stream: the collector of a process that is short of processor time fell behind,
// and the process exceeded its memory.
func TestRepeatedContentMakesNoGarbage(t *testing.T) {
	budget := buffer.NewBudget(1 << 20)
	event := bytes.Repeat([]byte("x"), 33_000)
	streams := []*buffer.Buffer{budget.NewBuffer(1 << 20), budget.NewBuffer(1 << 20)}
	var relayed bytes.Buffer
	relay := func() {
		for _, held := range streams {
			for rest := event; len(rest) > 0; rest = rest[min(len(rest), 4096):] {
				if err := held.Append(rest[:min(len(rest), 4096)]); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, held := range streams {
			relayed.Reset()
			if _, err := held.WriteTo(&relayed); err != nil || !bytes.Equal(relayed.Bytes(), event) {
				t.Fatalf("got other bytes than were appended, error %v", err)
			}
			held.Reset()
		}
	}
	relay()
	if count := testing.AllocsPerRun(100, relay); count != 0 {
		t.Errorf("an event on each of two streams: got %v allocations, want none after the first events", count)
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("between two events: got %d bytes used, want none", used)
	}
}

// neverEnding is a source without end.
type neverEnding struct{}

func (neverEnding) Read(buffer []byte) (int, error) { return len(buffer), nil }
