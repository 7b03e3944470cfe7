package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/juju/errors"
)

// maxCallerConnections bounds the connections of a Caller to one node.
const maxCallerConnections = 8192

// Answer is a node's answer to a Call.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Reason is the code of a refusal, such as OverRate. It is empty if the request was
	// not refused.
	Reason string
	// Run says whether a refused request may have run: NotRun or Unknown.
	Run string
	// Request is the id that the node gave the request.
	Request string
	// Replayed is set if the answer is that of an earlier request with the same
	// idempotency key.
	Replayed bool
	// Body is the body of an answer that isn't streamed.
	Body []byte
	// Tokens is the number of events of a streamed answer, not counting the last event
	// [DONE] and error events.
	Tokens int
	// FirstToken is the time from the start of the call to the first event of a stream.
	FirstToken time.Duration
	// Took is the time from the start of the call to the end of the answer.
	Took time.Duration
	// Whole is set if the request was served completely: a stream ended with [DONE], or
	// another answer has status 200.
	Whole bool
}

// Call is a request to the callers' API of a node.
type Call struct {
	// Node is the node's address for callers, as HOST:PORT.
	Node   string
	Method string
	// Path is the path with the query.
	Path string
	// Key is the caller's key. It is not sent if it is empty.
	Key string
	// Headers are sent in addition to the key and the content type, which is
	// application/json.
	Headers map[string]string
	Body    []byte
}

// Caller is a client of the callers' API. It is safe for concurrent use.
type Caller struct {
	http *client.Client
}

// NewCaller returns a client of the callers' API. The timeout bounds the dial and, on
// its own, the reading of an answer, which includes a whole stream. NewCaller fails only
// if the HTTP library can't create a client.
func NewCaller(timeout time.Duration) (*Caller, error) {
	http, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(timeout),
		client.WithClientReadTimeout(timeout),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(maxCallerConnections),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Caller{http: http}, nil
}

// Send sends a request and reads its answer to the end. A refusal is not an error: it
// is an Answer with a Reason. An error means that the node could not be reached, that
// the connection failed or timed out, or that the events of a stream are not numbered
// one after the other; the request may have run, and the Answer holds what was received.
// A stream that ends early without a failed connection gives no error, but Whole is not
// set.
//
// A cancelled ctx stops a call before it is sent and while a stream is read.
func (caller *Caller) Send(ctx context.Context, call Call) (Answer, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(call.Method)
	request.SetRequestURI("http://" + call.Node + call.Path)
	request.Header.SetContentTypeBytes([]byte("application/json"))
	if call.Key != "" {
		request.Header.Set("Authorization", "Bearer "+call.Key)
	}
	for name, value := range call.Headers {
		request.Header.Set(name, value)
	}
	request.SetBody(call.Body)
	started := time.Now()
	if err := caller.http.Do(ctx, request, response); err != nil {
		return Answer{Took: time.Since(started)}, errors.Trace(err)
	}
	answer := Answer{
		Status:   response.StatusCode(),
		Run:      string(response.Header.Peek("Mimosatide-Run")),
		Request:  string(response.Header.Peek("Mimosatide-Request")),
		Replayed: string(response.Header.Peek("Mimosatide-Replayed")) == "true",
	}
	var err error
	if bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream")) {
		err = answer.readStream(ctx, response, started)
	} else {
		err = answer.readBody(response)
	}
	answer.Took = time.Since(started)
	return answer, errors.Trace(err)
}

func (answer *Answer) readBody(response *protocol.Response) error {
	body, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return errors.Trace(err)
	}
	_ = response.CloseBodyStream()
	answer.Body = body
	answer.Whole = answer.Status == 200
	answer.readRefusal(body)
	return nil
}

func (answer *Answer) readRefusal(body []byte) {
	var envelope struct {
		Error struct{ Code string }
	}
	if answer.Status != 200 && json.Unmarshal(body, &envelope) == nil {
		answer.Reason = envelope.Error.Code
	}
}

// readStream counts the events of a stream. Their ids must be consecutive, starting at
// one.
func (answer *Answer) readStream(ctx context.Context, response *protocol.Response, started time.Time) error {
	reader, err := sse.NewReader(response)
	if err != nil {
		return errors.Trace(err)
	}
	last := 0
	err = reader.ForEach(ctx, func(event *sse.Event) error {
		if event.Type == "error" {
			var envelope struct {
				Error struct{ Code string }
			}
			_ = json.Unmarshal(event.Data, &envelope)
			answer.Reason, answer.Run = envelope.Error.Code, "Unknown"
			return nil
		}
		if bytes.Equal(event.Data, []byte("[DONE]")) {
			answer.Whole = true
			return nil
		}
		index, _ := strconv.Atoi(event.ID)
		if index != last+1 {
			return errors.Errorf("stream: got event %d after event %d, want consecutive numbers", index, last)
		}
		last = index
		if answer.Tokens == 0 {
			answer.FirstToken = time.Since(started)
		}
		answer.Tokens++
		return nil
	})
	_ = reader.Close()
	return errors.Trace(err)
}
