package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"mimosatide.example/mimosatide/internal/load"
)

// converse writes text on a new connection, and returns the statuses of the answers until the connection ends or has
// been silent for half a second, and whether it has ended.
func converse(t *testing.T, address, text string) (statuses []int, ended bool) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(connection)
	for {
		_ = connection.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, !errors.Is(err, os.ErrDeadlineExceeded)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		statuses = append(statuses, answer.StatusCode)
	}
}

// The HTTP server of serve goes by one of several statements about the end of a body and drops the others: a request
// inside the body was run and answered in place of the next one.
func TestServeRunsNoRequestInTheBodyOfAnother(t *testing.T) {
	c := startCluster(t, 1, nil)
	c.mustServe(0, "schools", "model-00", "warm up", 2)
	key := "Host: a\r\nAuthorization: Bearer " + load.KeyOf("schools") + "\r\n"
	inner := "POST /services/orders/buy HTTP/1.1\r\n" + key + "Content-Length: 8\r\n\r\nsmuggled"
	length := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+inner))
	chunked := "Transfer-Encoding: chunked\r\n"
	ports := map[string][]string{
		c.fleet.Callers[0]:   {"POST /services/orders/buy HTTP/1.1", "POST /v1/chat/completions HTTP/1.1", "POST /nowhere HTTP/1.1", "DELETE /v1/models HTTP/1.1", "GET /healthz HTTP/1.1"},
		c.fleet.Operators[0]: {"PATCH /admin/config HTTP/1.1", "POST /nowhere HTTP/1.1", "GET /healthz HTTP/1.1"},
	}
	for name, fields := range map[string]string{
		"length and chunks":     length + chunked,
		"chunks and length":     chunked + length,
		"two lengths":           length + "Content-Length: 5\r\n",
		"two codings":           "Transfer-Encoding: chunked, identity\r\n" + length,
		"coding that is none":   "Transfer-Encoding: identity\r\n" + length,
		"name that is none":     "Content-Length: 5\r\n\x00Transfer-Encoding: chunked\r\n",
		"chunk size that isn't": chunked,
	} {
		for address, lines := range ports {
			for _, line := range lines {
				body := "0\r\n\r\n"
				if fields == chunked {
					body = "0x3\r\nabc\r\n0\r\n\r\n"
				}
				statuses, ended := converse(t, address, line+"\r\n"+key+fields+"\r\n"+body+inner)
				if len(statuses) != 1 || statuses[0] < http.StatusBadRequest && fields != chunked || !ended {
					t.Errorf("%s, %s: got the statuses %v and ended %t, want one refusal and the end of the connection", name, line, statuses, ended)
				}
			}
		}
	}
	for _, line := range ports[c.fleet.Callers[0]] {
		if statuses, ended := converse(t, c.fleet.Callers[0], strings.Replace(line, "1.1", "1.0", 1)+"\r\nConnection: keep-alive\r\n"+key+chunked+"\r\n0\r\n\r\n"+inner); len(statuses) != 1 || !ended {
			t.Errorf("chunks in HTTP/1.0, %s: got the statuses %v and ended %t, want one refusal and the end of the connection", line, statuses, ended)
		}
	}
	if runs := c.truth().Bodies["smuggled"]; runs != 0 {
		t.Errorf("got %d runs of a request in the body of another, want none", runs)
	}
	valid := "POST /services/orders/buy HTTP/1.1\r\n" + key + "Content-Length: 6\r\n\r\nlength" +
		"POST /services/orders/buy HTTP/1.1\r\n" + key + chunked + "\r\n6\r\nchunks\r\n0\r\n\r\n" +
		"POST /services/orders/buy HTTP/1.1\r\n" + key + "Expect: 100-continue\r\nContent-Length: 7\r\n\r\nexpects" +
		"POST /services/orders/buy HTTP/1.1\r\n" + key + "\r\nGET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
	if statuses, ended := converse(t, c.fleet.Callers[0], valid); !slices.Equal(statuses, []int{200, 200, 100, 200, 200, 200}) || ended {
		t.Errorf("valid requests: got the statuses %v and ended %t, want 200 for each of five, one after 100, on a connection that stays open", statuses, ended)
	}
}
