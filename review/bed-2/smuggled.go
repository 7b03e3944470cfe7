package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const deskConfig = `{"version":1,"routes":[
{"name":"buy","host":"a.example","prefix":"/buy/","kind":"non_idempotent","service":"desk","maxAttempts":1,"timeoutMs":4000,"targetLatencyMs":300,"public":true},
{"name":"note","host":"a.example","prefix":"/note/","kind":"idempotent","service":"desk","maxAttempts":2,"timeoutMs":4000,"targetLatencyMs":300,"public":true}],
"services":[{"name":"desk","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`

// desk is a replica of a plain service.
type desk struct {
	bed  *bed
	lock sync.Mutex
	runs map[string]string
}

func (desk *desk) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	desk.bed.note("replica runs %s: %s %s, body %q", id, request.Method, request.URL.Path, body)
	desk.lock.Lock()
	desk.runs[id] = request.Method + " " + request.URL.Path
	desk.lock.Unlock()
	writer.Header().Set("Attempt-Id", id)
	writer.Header().Set("Response-Signature", "by d-1")
	fmt.Fprintf(writer, "%s done", id)
}

// smuggled shows a request that is run although its client sent it as part of another one's body.
func smuggled(bed *bed, trouble bool) int {
	bed.store.Put("op", "config", deskConfig)
	desk := &desk{bed: bed, runs: map[string]string{}}
	address := bed.serve(100, desk)
	bed.store.Put("servers", "d-1", fmt.Sprintf(
		`{"service":"desk","address":%q,"zone":"a","version":"v1","slots":6,"state":"ready","callSeq":0,"born":1}`, address))
	for range 3 {
		bed.addNode()
	}
	for _, node := range bed.nodes {
		node.start(true)
	}
	bed.awaitReady()
	time.Sleep(time.Second)
	code := heldRule
	for index, node := range bed.nodes {
		outer, inner, next := fmt.Sprintf("note-%d", index), fmt.Sprintf("inner-%d", index), fmt.Sprintf("next-%d", index)
		if answered := bed.sendNote(node, outer, inner, next, trouble); answered != "" && answered != next {
			bed.note("MIXED broken: the answer to %s is that to %s", next, answered)
			code = brokenRule
		}
		if run := desk.runOf(inner); run != "" {
			bed.note("UNASKED broken: %s, part of the body of %s, ran as %s", inner, outer, run)
			code = brokenRule
		}
		if desk.runOf(outer) == "" && !trouble {
			return couldNotRun
		}
	}
	return code
}

func (desk *desk) runOf(id string) string {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	return desk.runs[id]
}

// sendNote sends a note whose text holds a request, and then another request on the same channel. With trouble the
// header of the note also says that its body comes in chunks. It returns the ID that the answer to the second request names.
func (bed *bed) sendNote(node *node, outer, inner, next string, trouble bool) string {
	text := "0\r\n\r\nPOST /buy/stamps HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + inner + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
	note := "POST /note/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + outer + "\r\nDeadline-Ms: 2000\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n", len(text))
	if trouble {
		note += "Transfer-Encoding: chunked\r\n"
	}
	connection, err := net.Dial("tcp", node.callers)
	check(err)
	defer func() { _ = connection.Close() }()
	check(connection.SetDeadline(time.Now().Add(5 * time.Second)))
	reader := bufio.NewReader(connection)
	exchange := func(message string) string {
		bed.note("sent to %s: %q", node.name, message)
		if _, err := io.WriteString(connection, message); err != nil {
			bed.note("not sent: %v", err)
			return ""
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			bed.note("no answer: %v", err)
			return ""
		}
		body, err := io.ReadAll(answer.Body)
		bed.note("answer of %s: %s, Attempt-Id %s, %q, error %v", node.name, answer.Status, answer.Header.Get("Attempt-Id"), body, err)
		return answer.Header.Get("Attempt-Id")
	}
	exchange(note + "\r\n" + text)
	return exchange("GET /note/2 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + next + "\r\nDeadline-Ms: 2000\r\n\r\n")
}
