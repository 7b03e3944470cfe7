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

const maxCallerConnections = 8192

// Answer is what a caller got.
type Answer struct {
	Status int
	// Reason is the refusal's code; it is empty when the request was served.
	Reason string
	// Run says whether a refused request may have run: NotRun or Unknown.
	Run      string
	Request  string
	Replayed bool
	Body     []byte
	// Tokens counts the events of a streamed answer.
	Tokens int
	// FirstToken is the time to the first event, Took the time to the whole answer.
	FirstToken time.Duration
	Took       time.Duration
	// Whole is set when the answer came to its end.
	Whole bool
}

// Call is one request of a caller.
type Call struct {
	Node   string
	Method string
	Path   string
	Key    string
	// Headers are sent besides the key.
	Headers map[string]string
	Body    []byte
}

// Caller sends requests as callers do.
type Caller struct {
	http *client.Client
}

// NewCaller returns a caller that waits at most the given time for each part of an answer.
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

// Send sends a request and reads its whole answer.
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

// readStream counts the events, which must come in order and each once.
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
			return errors.Errorf("event %d came behind event %d", index, last)
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
