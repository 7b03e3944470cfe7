package framing_test

import (
	"testing"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/framing"
)

// TestStatusLineIsCheckedAsItArrives guards against statuses that are no HTTP, against a wait
// for the rest of a line that is wrong already, and against valid lines that are refused
// because they arrive in pieces.
func TestStatusLineIsCheckedAsItArrives(t *testing.T) {
	valid := map[string]int{
		"HTTP/1.1 200 OK\r\n": 200, "HTTP/1.0 599\r\n": 599, "HTTP/1.1 100\n": 100, "HTTP/1.1 404 \r\n": 404,
		"HTTP/1.1  204 two spaces\r\n": 204, "HTTP/1.1 503 HTTP/1.1 200 OK\r\n": 503,
	}
	for line, want := range valid {
		for end := range len(line) {
			if status, err := framing.CheckStatusLine([]byte(line[:end])); err != nil || status != 0 && status != want {
				t.Errorf("%q: got status %d and error %v, want none yet or %d", line[:end], status, err, want)
			}
		}
		if status, err := framing.CheckStatusLine([]byte(line + "Field: value\r\n")); status != want || err != nil {
			t.Errorf("%q: got status %d and error %v, want %d", line, status, err, want)
		}
	}
	// The shortest beginnings of status lines that can't become valid ones.
	for _, begin := range []string{
		"HTTP/1.1 0", "HTTP/1.1 6", "HTTP/1.1 +", "HTTP/1.1 -", "HTTP/1.1 101", "HTTP/1.1 20 ", "HTTP/1.1 20\n", "HTTP/1.1 2000",
		"HTTP/1.1 200x", "HTTP/1.1 2x", "HTTP/1.1 \n", "HTTP/1.1 \r", "HTTP/1.1 2\xd9\xa1",
	} {
		if status, err := framing.CheckStatusLine([]byte(begin)); !errors.Is(err, framing.ErrStatus) {
			t.Errorf("%q: got status %d and error %v, want ErrStatus", begin, status, err)
		}
	}
	for _, begin := range []string{"\r\n", "x", "HTTQ", "HTTP/1.1\n", "HTTP\n", "<html> 200"} {
		if status, err := framing.CheckStatusLine([]byte(begin)); err == nil {
			t.Errorf("%q: got status %d and no error, want one", begin, status)
		}
	}
}
