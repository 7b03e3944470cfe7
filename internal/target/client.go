package target

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

// The headers of the protocol between nodes and targets.
const (
	RequestHeader   = "Mimosatide-Request"
	PlacementHeader = "Mimosatide-Placement"
	NumberHeader    = "Mimosatide-Number"
	PriorityHeader  = "Mimosatide-Priority"
	lastEventHeader = "Last-Event-ID"
)

// The defaults of the client's settings.
const (
	DefaultDialTimeout   = time.Second
	DefaultProgressLimit = 5 * time.Second
	DefaultOrderTimeout  = 2 * time.Second
	DefaultMaxAnswer     = 16 << 20
	maxConnections       = 4096
	maxEventSize         = 1 << 20
)

// Settings are the parameters of a Client.
type Settings struct {
	DialTimeout time.Duration
	// ProgressLimit bounds the silence of a target during an answer.
	ProgressLimit time.Duration
	// OrderTimeout bounds the answer to an order or a report.
	OrderTimeout time.Duration
	// MaxAnswer bounds the bytes of an answer that isn't streamed.
	MaxAnswer int
}

// DefaultSettings returns the settings with every default.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:   DefaultDialTimeout,
		ProgressLimit: DefaultProgressLimit,
		OrderTimeout:  DefaultOrderTimeout,
		MaxAnswer:     DefaultMaxAnswer,
	}
}

// Client is the Target of a node.
type Client struct {
	settings Settings
	// pooled keeps connections for work that may be repeated.
	pooled *client.Client
	// single uses a connection once: the library repeats a call on a pooled
	// connection that turns out to be closed.
	single *client.Client
}

// New returns a client.
func New(settings Settings) (*Client, error) {
	pooled, err := newHTTPClient(settings, true)
	if err != nil {
		return nil, errors.Trace(err)
	}
	single, err := newHTTPClient(settings, false)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{settings: settings, pooled: pooled, single: single}, nil
}

func newHTTPClient(settings Settings, keepAlive bool) (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(settings.DialTimeout),
		client.WithClientReadTimeout(settings.ProgressLimit),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithKeepAlive(keepAlive),
	)
}

// Run sends a call and hands each event of a stream to onEvent.
func (target *Client) Run(
	ctx context.Context, spec mimosatide.TargetSpec, call mimosatide.Call, onEvent func(mimosatide.Event) error,
) mimosatide.Answer {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	target.fill(request, spec, call)
	http := target.pooled
	if call.FreshConnection {
		http = target.single
	}
	if err := http.Do(ctx, request, response); err != nil {
		return failed(ctx, err)
	}
	if stated := string(response.Header.Peek(RequestHeader)); stated != "" && stated != call.Request {
		forceClose(response)
		return mimosatide.Answer{Failure: mimosatide.CallMismatched, Detail: "the answer names request " + stated}
	}
	if call.Stream && response.StatusCode() == 200 {
		return target.readStream(ctx, response, onEvent)
	}
	return target.readBody(ctx, response)
}

// fill writes only the headers that a target may see.
func (target *Client) fill(request *protocol.Request, spec mimosatide.TargetSpec, call mimosatide.Call) {
	request.SetMethod(call.Method)
	request.SetRequestURI("http://" + spec.Address + call.Path)
	for _, name := range allowedHeaders {
		if value, found := call.Headers[name]; found {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(RequestHeader, call.Request)
	if call.Placement != "" {
		request.Header.Set(PlacementHeader, call.Placement)
		request.Header.Set(NumberHeader, strconv.FormatUint(uint64(call.Number), 10))
		request.Header.Set(PriorityHeader, strconv.Itoa(call.Priority))
	}
	if call.Resume {
		request.Header.Set(lastEventHeader, strconv.Itoa(call.After))
	}
	if len(call.Body) > 0 {
		request.SetBody(call.Body)
	}
}

// allowedHeaders are the caller's headers that pass on to a target.
var allowedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// failed says how far a call had come that got no answer.
func failed(ctx context.Context, err error) mimosatide.Answer {
	answer := mimosatide.Answer{Failure: mimosatide.CallCut, Detail: err.Error()}
	var operation *net.OpError
	var network net.Error
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		answer.Failure = mimosatide.CallNotSent
	case ctx.Err() != nil:
		answer.Failure = mimosatide.CallCancelled
	case errors.As(err, &network) && network.Timeout():
		answer.Failure = mimosatide.CallSilent
	}
	return answer
}

type forceCloser interface {
	ForceClose() error
}

// forceClose ends the connection of an answer that isn't read to its end.
func forceClose(response *protocol.Response) {
	if stream, ok := response.BodyStream().(forceCloser); ok {
		_ = stream.ForceClose()
	}
}

// SendOrder gives an order to an engine.
func (target *Client) SendOrder(
	ctx context.Context, spec mimosatide.TargetSpec, order mimosatide.Order,
) (mimosatide.OrderState, error) {
	body, err := encodeOrder(order)
	if err != nil {
		return "", errors.Trace(err)
	}
	answer, err := target.exchange(ctx, "POST", spec, "/orders", body)
	if err != nil {
		return "", errors.Trace(err)
	}
	return decodeOrderState(answer)
}

// GetReport asks an engine for its state.
func (target *Client) GetReport(ctx context.Context, spec mimosatide.TargetSpec) (mimosatide.Report, error) {
	answer, err := target.exchange(ctx, "GET", spec, "/report", nil)
	if err != nil {
		return mimosatide.Report{}, errors.Trace(err)
	}
	return decodeReport(answer)
}

// Cancel tells the target that a request is no longer wanted.
func (target *Client) Cancel(ctx context.Context, spec mimosatide.TargetSpec, request string) {
	// A lost cancellation only wastes work: the engine ends the request by itself.
	_, _ = target.exchange(ctx, "DELETE", spec, "/v1/requests/"+request, nil)
}

// exchange sends a short message and reads the whole answer.
func (target *Client) exchange(
	ctx context.Context, method string, spec mimosatide.TargetSpec, path string, body []byte,
) ([]byte, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + spec.Address + path)
	request.SetOptions(config.WithReadTimeout(target.settings.OrderTimeout))
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	if err := target.pooled.Do(ctx, request, response); err != nil {
		return nil, errors.Trace(err)
	}
	answer := target.readBody(ctx, response)
	if answer.Failure != mimosatide.CallSucceeded {
		return nil, errors.Errorf("%s %s: %s %s", method, path, answer.Failure, answer.Detail)
	}
	if answer.Status != 200 {
		return nil, errors.Errorf("%s %s: status %d", method, path, answer.Status)
	}
	return answer.Body, nil
}
