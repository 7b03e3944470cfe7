package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/intake"
)

// record records the requests that a handler gets, as method, path and body.
type record struct {
	lock     sync.Mutex
	requests []string
}

func (record *record) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	record.lock.Lock()
	defer record.lock.Unlock()
	record.requests = append(record.requests, request.Method+" "+request.URL.Path+" "+string(body))
}

// take returns the requests since the last call.
func (record *record) take() []string {
	record.lock.Lock()
	defer record.lock.Unlock()
	taken := record.requests
	record.requests = nil
	return taken
}

// converse writes pieces on a new connection, and returns the statuses of the answers until the connection ends.
func converse(t *testing.T, address string, pieces ...string) []int {
	t.Helper()
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	for _, piece := range pieces {
		if _, err := io.WriteString(caller, piece); err != nil {
			break
		}
		// Lets the server read the piece by itself.
		time.Sleep(time.Millisecond)
	}
	_ = caller.(*net.TCPConn).CloseWrite()
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader, statuses := bufio.NewReader(caller), []int(nil)
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		statuses = append(statuses, answer.StatusCode)
	}
}

const (
	proper = "POST /proper HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	inner  = "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
)

// A request with a length and chunks ended where its chunks did: the rest of what its sender took for its body was
// handled as the next request, and answered in place of that.
func TestRequestInTheBodyOfAnotherIsNotHandled(t *testing.T) {
	body := "0\r\n\r\n" + inner
	length := strconv.Itoa(len(body))
	for name, head := range map[string]string{
		"length first":      "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks first":      "POST /outer HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n",
		"case":              "POST /outer HTTP/1.1\r\nHost: a\r\ncOntent-lEngth: " + length + "\r\ntransfer-ENCODING: Chunked\r\n\r\n",
		"tab":               "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length:\t" + length + "\r\nTransfer-Encoding:\tchunked\r\n\r\n",
		"folded":            "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n " + length + "\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n",
		"line feeds":        "POST /outer HTTP/1.1\nHost: a\nContent-Length: " + length + "\nTransfer-Encoding: chunked\n\n",
		"length not valid":  "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"expects":           "POST /outer HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"to the server":     "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":          "POST /outer HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0, both":    "POST /outer HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nContent-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":       "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\nContent-Length: 5\r\n\r\n",
		"space before":      "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\nTransfer-Encoding : chunked\r\n\r\n",
		"two codings":       "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
		"carriage return":   "POST /outer HTTP/1.1\r\nHost: a\r\nX: y\rTransfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n",
		"folded, a field":   "POST /outer HTTP/1.1\r\nHost: a\r\nX: y\r\n Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n",
		"folded, a length":  "POST /outer HTTP/1.1\r\nHost: a\r\nX: y\r\n\tContent-Length: 5\r\nContent-Length: " + length + "\r\n\r\n",
		"nothing but lines": "POST /outer HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: " + length + "\nHost: a\n\n",
	} {
		handled := &record{}
		_, address := start(t, handled, func(*ingress.Server, []byte) {})
		request := head + body
		for way, pieces := range map[string][]string{
			"by itself":           {request, proper},
			"in pieces":           {request[:40], request[40:90], request[90:], proper},
			"behind another":      {proper + request + proper},
			"behind a first byte": {proper + request[:1], request[1:] + proper},
			"behind chunks":       {"POST /proper HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + request + proper},
		} {
			statuses := converse(t, address, pieces...)
			want := slices.Repeat([]string{"POST /proper abc"}, strings.Count(way, "behind"))
			if got := handled.take(); !slices.Equal(got, want) {
				t.Errorf("%s, %s: got the requests %q, want %q", name, way, got, want)
			}
			if len(statuses) != len(want)+1 || statuses[len(want)] < http.StatusBadRequest {
				t.Errorf("%s, %s: got the statuses %v, want a refusal after those of %q, and the end of the connection", name, way, statuses, want)
			}
		}
	}
}

// Requests whose end is certain must keep their connection, however their bytes arrive.
func TestRequestsWithOneFramingKeepTheirConnection(t *testing.T) {
	handled := &record{}
	address := startPlain(t, intake.NewBudget(1<<19), ingress.Settings{}, handled)
	// The field names in a value, in another name and in a body are no framing.
	text := "GET /none HTTP/1.1\r\nHost: a\r\nX: Content-Length: 5\r\nContent-Length-Hint: 5\r\nX-Transfer-Encoding: chunked\r\n\r\n" +
		"POST /empty HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" +
		"POST /twice HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\na\nb\n" +
		"POST /lines HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nContent-Length: 5\r\n\r\r\n2;x=\"y\"\r\n\n\n\r\n0\r\nT: 1\r\n\r\n" +
		"POST /field HTTP/1.1\r\nHost: a\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\n" +
		"POST /expects HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" +
		"POST /long HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n" + strings.Repeat("long line\n", 1000) + "\r\n0\r\n\r\n" +
		"OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy" +
		proper
	want := []string{
		"GET /none ", "POST /empty ", "POST /twice a\nb\n", "POST /lines Content-Length: 5\r\n\r\n\n", "POST /field Transfer-Encoding: chunked\r\n",
		"POST /expects x", "POST /long " + strings.Repeat("long line\n", 1000), "POST /proper abc",
	}
	for _, size := range []int{1, 7, 64, 1000, len(text)} {
		pieces := []string(nil)
		for piece := range slices.Chunk([]byte(text), size) {
			pieces = append(pieces, string(piece))
		}
		if size == 1 {
			// Single bytes of the long body only add time.
			pieces = append(pieces[:600:600], text[600:])
		}
		statuses := slices.DeleteFunc(converse(t, address, pieces...), func(status int) bool { return status == http.StatusContinue })
		if got := handled.take(); !slices.Equal(got, want) {
			t.Errorf("pieces of %d bytes: got the requests %.300q, want %.300q", size, got, want)
		}
		if !slices.Equal(statuses, slices.Repeat([]int{http.StatusOK}, len(want)+1)) {
			t.Errorf("pieces of %d bytes: got the statuses %v, want 200 for each of %d requests and OPTIONS *", size, statuses, len(want))
		}
	}
}
