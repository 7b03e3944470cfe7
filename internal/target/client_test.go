package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/target"
)

// startUnnamedTarget starts a target that answers the first request on each connection
// with 200 and the others with a rejection that names no request.
func startUnnamedTarget(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndReject(connection)
		}
	}()
	return listener.Addr().String()
}

func answerAndReject(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
		if first {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\ndone", target.RequestHeader, request.Header.Get(target.RequestHeader))
			continue
		}
		_, _ = fmt.Fprint(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestRejectionWithoutARequestIsNotBelievedOnAKeptConnection guards against 'not run' for a
// request that the target is running: the rejection may belong to an earlier request.
func TestRejectionWithoutARequestIsNotBelievedOnAKeptConnection(t *testing.T) {
	client, err := target.New(target.DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	spec := mimosatide.TargetSpec{Address: startUnnamedTarget(t)}
	call := mimosatide.Call{Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}
	call.Request = "first"
	if answer := client.Run(context.Background(), spec, call, nil); answer.Failure != mimosatide.CallSucceeded {
		t.Fatalf("first request: got %+v, want an answer", answer)
	}
	call.Request = "second"
	if answer := client.Run(context.Background(), spec, call, nil); answer.Failure != mimosatide.CallMismatched {
		t.Errorf("rejection without a request on a kept connection: got %+v, want it not taken for the answer", answer)
	}
}

// TestAnswerWhoseHeadIsCutShortIsNoAnswer guards against a target that stops in the middle
// of its head: what has arrived must not pass for a complete answer with an empty or short
// body.
func TestAnswerWhoseHeadIsCutShortIsNoAnswer(t *testing.T) {
	const request = "r-1"
	head := "HTTP/1.1 200 OK\r\n" + target.RequestHeader + ": " + request + "\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n"
	hints := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	var cut []string
	for end := 1; end < len(head); end++ {
		cut = append(cut, head[:end], hints+head[:end])
	}
	for end := 1; end <= len(hints); end++ {
		cut = append(cut, hints[:end])
	}
	client, err := target.New(target.DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	for _, answer := range cut {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = fmt.Fprint(connection, answer)
				}
				_ = connection.Close()
			}
		}()
		for _, call := range []mimosatide.Call{{}, {Stream: true}, {FreshConnection: true}, {Stream: true, FreshConnection: true}} {
			call.Request, call.Method, call.Path, call.Body = request, http.MethodPost, "/v1/completions", []byte("{}")
			got := client.Run(context.Background(), mimosatide.TargetSpec{Address: listener.Addr().String()}, call,
				func(mimosatide.Event) error { return nil })
			if got.Failure == mimosatide.CallSucceeded {
				t.Errorf("head cut to %q, stream %v, fresh connection %v: got %+v, want a failure", answer, call.Stream, call.FreshConnection, got)
			}
		}
		_ = listener.Close()
	}
}

// startRepeatingTarget starts a target that answers its requests in turn with the given
// answers. Where the next answer is due on a connection, it first writes the one before once
// more. It returns its address.
func startRepeatingTarget(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	due := make(chan string, len(answers))
	for _, answer := range answers {
		due <- answer
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerRepeatedly(connection, due)
		}
	}()
	return listener.Addr().String()
}

func answerRepeatedly(connection net.Conn, due <-chan string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for earlier := ""; ; {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
		answer := <-due
		if _, err := io.WriteString(connection, earlier+answer); err != nil {
			return
		}
		earlier = answer
	}
}

// answerWith returns a complete answer with status 200; request may be empty.
func answerWith(request, contentType, body string) string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	if request != "" {
		head += target.RequestHeader + ": " + request + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// TestRepeatedAnswerIsNotTakenForTheAnswerToAnOrder guards against memory that is given to
// another model because the answer to an earlier unload says that its model is gone.
func TestRepeatedAnswerIsNotTakenForTheAnswerToAnOrder(t *testing.T) {
	for _, earlier := range []mimosatide.OrderState{mimosatide.OrderAbsent, mimosatide.OrderReady, mimosatide.OrderStale} {
		client, err := target.New(target.DefaultSettings())
		if err != nil {
			t.Fatal(err)
		}
		spec := mimosatide.TargetSpec{Address: startRepeatingTarget(t,
			answerWith("", "application/json", `{"State":"`+string(earlier)+`"}`),
			answerWith("", "application/json", `{"State":"Loading"}`))}
		for index, want := range []mimosatide.OrderState{earlier, mimosatide.OrderLoading} {
			order := mimosatide.Order{Kind: mimosatide.OrderUnload, Placement: fmt.Sprint("p-", index)}
			if got, err := client.SendOrder(context.Background(), spec, order); got != want {
				t.Errorf("order %d after the answer %s: got %q (%v), want %s", index, earlier, got, err, want)
			}
		}
	}
}

// TestRepeatedReportIsNotTakenForTheNewOne guards against reports that are older than the
// request for them, and so show a model as lost that was loaded since.
func TestRepeatedReportIsNotTakenForTheNewOne(t *testing.T) {
	var answers []string
	for running := range 4 {
		answers = append(answers, answerWith("", "application/json", fmt.Sprintf(`{"Running":%d}`, running)))
	}
	client, err := target.New(target.DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	spec := mimosatide.TargetSpec{Address: startRepeatingTarget(t, answers...)}
	for running := range answers {
		report, err := client.GetReport(context.Background(), spec)
		if err != nil || report.Running != running {
			t.Errorf("report %d: got %+v (%v), want %d running requests", running, report, err, running)
		}
	}
}

// TestRepeatedAnswerIsNotTakenForThatOfAnotherKind guards against reports that are decoded
// from the answer to an order, orders answered by a report, and requests that count as cut
// because a report came.
func TestRepeatedAnswerIsNotTakenForThatOfAnotherKind(t *testing.T) {
	const request = "r-1"
	type exchange struct {
		kind, answer string
		call         func(*target.Client, mimosatide.TargetSpec) error
	}
	exchanges := []exchange{
		{"request", answerWith(request, "text/event-stream", "id: 1\ndata: token\n\ndata: [DONE]\n\n"), func(client *target.Client, spec mimosatide.TargetSpec) error {
			answer := client.Run(context.Background(), spec, mimosatide.Call{
				Request: request, Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Stream: true,
			}, func(mimosatide.Event) error { return nil })
			if answer.Failure != mimosatide.CallSucceeded {
				return errors.Errorf("%s: %s", answer.Failure, answer.Detail)
			}
			return nil
		}},
		{"report", answerWith("", "application/json", `{"Placements":{"p-1":"Ready"}}`), func(client *target.Client, spec mimosatide.TargetSpec) error {
			got, err := client.GetReport(context.Background(), spec)
			if err == nil && got.Placements["p-1"] != mimosatide.OrderReady {
				err = errors.Errorf("report %+v", got)
			}
			return err
		}},
		{"order", answerWith("", "application/json", `{"State":"Loading"}`), func(client *target.Client, spec mimosatide.TargetSpec) error {
			got, err := client.SendOrder(context.Background(), spec, mimosatide.Order{Kind: mimosatide.OrderLoad, Placement: "p-1"})
			if err == nil && got != mimosatide.OrderLoading {
				err = errors.Errorf("state %q", got)
			}
			return err
		}},
	}
	for _, earlier := range exchanges {
		for _, due := range exchanges {
			if earlier.kind == due.kind {
				continue
			}
			client, err := target.New(target.DefaultSettings())
			if err != nil {
				t.Fatal(err)
			}
			spec := mimosatide.TargetSpec{Address: startRepeatingTarget(t, earlier.answer, due.answer)}
			if err := earlier.call(client, spec); err != nil {
				t.Fatal(err)
			}
			if err := due.call(client, spec); err != nil {
				t.Errorf("%s after the answer to a %s came twice: got %v, want its own answer", due.kind, earlier.kind, err)
			}
		}
	}
}

// TestAnswerWithoutARequestIsNotBelievedOnAKeptConnection guards against a caller that gets
// the answer to another one's request, because the answer came late and names no request. A
// target that never names one must be served all the same.
func TestAnswerWithoutARequestIsNotBelievedOnAKeptConnection(t *testing.T) {
	stream := func(request, token string) string {
		return answerWith(request, "text/event-stream", "id: 1\ndata: "+token+"\n\ndata: [DONE]\n\n")
	}
	for name, answers := range map[string][]string{
		"named before": {stream("r-0", "0"), stream("", "1"), stream("", "2"), stream("r-3", "3"), stream("r-4", "4")},
		"never named":  {stream("", "0"), stream("", "1"), stream("", "2"), stream("", "3"), stream("", "4")},
	} {
		client, err := target.New(target.DefaultSettings())
		if err != nil {
			t.Fatal(err)
		}
		spec := mimosatide.TargetSpec{Address: startRepeatingTarget(t, answers...)}
		disbelieved := 0
		for index := range answers {
			got := ""
			answer := client.Run(context.Background(), spec, mimosatide.Call{
				Request: fmt.Sprint("r-", index), Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Stream: true,
			}, func(event mimosatide.Event) error {
				if !event.Last {
					got += string(event.Data)
				}
				return nil
			})
			if answer.Failure == mimosatide.CallMismatched {
				disbelieved++
			}
			if answer.Failure == mimosatide.CallSucceeded && got != strconv.Itoa(index) {
				t.Errorf("%s, request %d: got the stream of request %s, want its own", name, index, got)
			}
		}
		if disbelieved > 2 {
			t.Errorf("%s: got %d of %d answers not believed, want at most 2", name, disbelieved, len(answers))
		}
	}
}

// TestCallOverANewConnectionIsSentOnce guards against a library that sends a call again by
// itself after its connection was cut, so that it runs twice, and against one that uses a
// connection again whose earlier answer may be repeated there.
func TestCallOverANewConnectionIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		for _, partial := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			arrivals := make(chan string, 10)
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					go answerTheFirst(connection, partial, arrivals)
				}
			}()
			client, err := target.New(target.DefaultSettings())
			if err != nil {
				t.Fatal(err)
			}
			for _, request := range []string{"answered", "cut"} {
				client.Run(context.Background(), mimosatide.TargetSpec{Address: listener.Addr().String()}, mimosatide.Call{
					Request: request, Method: method, Path: "/", Body: []byte("{}"), FreshConnection: true,
				}, nil)
			}
			_ = listener.Close()
			if first, second := <-arrivals, <-arrivals; first != "answered, first on its connection" || second != "cut, first on its connection" || len(arrivals) > 0 {
				t.Errorf("%s, cut after %q: got arrivals %q, %q and %d more, want one of each call on a connection of its own",
					method, partial, first, second, len(arrivals))
			}
		}
	}
}

// answerTheFirst answers the request "answered" and cuts any other after a part of an answer.
func answerTheFirst(connection net.Conn, partial string, arrivals chan<- string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for position := ", first on its connection"; ; position = ", again on its connection" {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
		name := request.Header.Get(target.RequestHeader)
		arrivals <- name + position
		if name != "answered" {
			_, _ = io.WriteString(connection, partial)
			return
		}
		_, _ = io.WriteString(connection, answerWith(name, "text/plain", "done"))
	}
}
