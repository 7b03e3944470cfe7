package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cloudwego/hertz/pkg/route"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/dispatch"
	"mimosatide.example/mimosatide/internal/framing/hertzconn"
	"mimosatide.example/mimosatide/internal/metric"
)

// Paths of the callers' API.
const (
	chatPath     = "/v1/chat/completions"
	textPath     = "/v1/completions"
	modelsPath   = "/v1/models"
	servicesPath = "/services/"
)

// Settings are the parameters of a Server.
type Settings struct {
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int
	// MaxHeader is the largest total size of a request's headers, in bytes.
	MaxHeader int
}

// Dispatcher serves validated requests.
type Dispatcher interface {
	// RunModel serves a request to a model and calls onEvent for each event of the answer.
	RunModel(ctx context.Context, request dispatch.Request, onEvent func(mimosatide.Event) error) dispatch.Result
	// RunRoute serves a request to a plain service.
	RunRoute(ctx context.Context, request dispatch.Request) dispatch.Result
}

// Server serves the callers' API.
type Server struct {
	settings   Settings
	clock      mimosatide.Clock
	store      *configuration.Store
	dispatcher Dispatcher
	meter      *metric.Meter
	newID      func() string
}

// New returns a server. The function newID returns a new request id at each call.
func New(
	settings Settings, clock mimosatide.Clock, store *configuration.Store,
	dispatcher Dispatcher, meter *metric.Meter, newID func() string,
) *Server {
	return &Server{settings: settings, clock: clock, store: store, dispatcher: dispatcher, meter: meter, newID: newID}
}

// Register adds the handlers of the callers' API to an HTTP engine.
func (server *Server) Register(engine *route.Engine) {
	engine.POST(chatPath, server.serveCompletion)
	engine.POST(textPath, server.serveCompletion)
	engine.GET(modelsPath, server.listModels)
	engine.Any(servicesPath+":route", server.serveRoute)
	engine.Any(servicesPath+":route/*path", server.serveRoute)
	engine.NoRoute(func(_ context.Context, c *app.RequestContext) {
		server.refuse(c, server.newID(), mimosatide.Refuse(mimosatide.ReasonUnknownRoute, "no such path"))
	})
	engine.NoMethod(func(_ context.Context, c *app.RequestContext) {
		server.refuse(c, server.newID(), mimosatide.Refuse(mimosatide.ReasonWrongMethod, "the path doesn't take this method"))
	})
}

// RefuseAmbiguousBody refuses a request that leaves in doubt where its body ends.
func (server *Server) RefuseAmbiguousBody(c *app.RequestContext, err error) {
	server.refuse(c, server.newID(), mimosatide.Refuse(mimosatide.ReasonAmbiguousBody, err.Error()))
}

// refuse answers and counts a request that is refused before it reaches the dispatcher.
func (server *Server) refuse(c *app.RequestContext, id string, refusal mimosatide.Refusal) {
	server.meter.CountRefusal(refusal.Reason)
	writeRefusal(c, id, refusal)
}

// readBody returns the body of a request. It refuses the request if the body or the
// headers are too large.
func (server *Server) readBody(c *app.RequestContext) ([]byte, mimosatide.Refusal) {
	if len(c.Request.Header.RawHeaders()) > server.settings.MaxHeader {
		return nil, mimosatide.Refuse(mimosatide.ReasonTooLarge, "the headers are larger than "+strconv.Itoa(server.settings.MaxHeader)+" bytes")
	}
	tooLarge := mimosatide.Refuse(mimosatide.ReasonTooLarge, "the body is larger than "+strconv.Itoa(server.settings.MaxBody)+" bytes")
	if c.Request.Header.ContentLength() > server.settings.MaxBody {
		return nil, tooLarge
	}
	if !c.Request.IsBodyStream() {
		return c.Request.Body(), mimosatide.Refusal{}
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(server.settings.MaxBody)+1))
	if err != nil {
		return nil, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body can't be read: "+err.Error())
	}
	if len(body) > server.settings.MaxBody {
		return nil, tooLarge
	}
	hertzconn.MarkBodyRead(c)
	return body, mimosatide.Refusal{}
}

// authenticate returns the digest of a request's key and the account of the key.
func (server *Server) authenticate(c *app.RequestContext) (mimosatide.KeyDigest, mimosatide.Account, mimosatide.Refusal) {
	key, refusal := readKey(c)
	if refusal.Refused() {
		return "", mimosatide.Account{}, refusal
	}
	digest := mimosatide.DigestKey(key)
	account, reason := server.store.View().Authenticate(digest)
	if reason != "" {
		return "", mimosatide.Account{}, mimosatide.Refuse(reason, "the key is not in force")
	}
	return digest, account, mimosatide.Refusal{}
}

func (server *Server) listModels(_ context.Context, c *app.RequestContext) {
	if _, _, refusal := server.authenticate(c); refusal.Refused() {
		server.refuse(c, server.newID(), refusal)
		return
	}
	type modelWire struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelWire `json:"data"`
	}{Object: "list"}
	for _, model := range server.store.View().Document.Models() {
		list.Data = append(list.Data, modelWire{ID: model.Name, Object: "model"})
		for adapter := range model.Adapters {
			list.Data = append(list.Data, modelWire{ID: model.Name + adapterSeparator + adapter, Object: "model"})
		}
	}
	c.JSON(http.StatusOK, list)
}

func (server *Server) serveCompletion(ctx context.Context, c *app.RequestContext) {
	id := server.newID()
	request, parsed, refusal := server.parseCompletion(c, id)
	if refusal.Refused() {
		server.refuse(c, id, refusal)
		return
	}
	c.Response.Header.Set(RequestHeader, id)
	if parsed.stream {
		server.streamCompletion(ctx, c, request)
		return
	}
	server.collectCompletion(ctx, c, request, parsed)
}

// parseCompletion validates and authenticates a completion request. The returned
// request is what the dispatcher takes.
func (server *Server) parseCompletion(c *app.RequestContext, id string) (dispatch.Request, completion, mimosatide.Refusal) {
	arrived := server.clock.Now()
	body, refusal := server.readBody(c)
	if refusal.Refused() {
		return dispatch.Request{}, completion{}, refusal
	}
	digest, account, refusal := server.authenticate(c)
	if refusal.Refused() {
		return dispatch.Request{}, completion{}, refusal
	}
	if containsKey(readKeys(c), body) {
		return dispatch.Request{}, completion{}, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body holds the key itself")
	}
	parsed, refusal := parseCompletion(body)
	if refusal.Refused() {
		return dispatch.Request{}, parsed, refusal
	}
	model, known := server.store.View().Document.GetModel(parsed.model)
	_, adapterKnown := model.Adapters[parsed.adapter]
	if !known || (parsed.adapter != "" && !adapterKnown) {
		return dispatch.Request{}, parsed, mimosatide.Refuse(mimosatide.ReasonUnknownModel, "no such model or adapter")
	}
	engineBody, err := parsed.engineBody()
	if err != nil {
		return dispatch.Request{}, parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error())
	}
	path := string(c.Path())
	return dispatch.Request{
		ID:           id,
		Account:      account,
		Key:          digest,
		Model:        model,
		Adapter:      parsed.adapter,
		Path:         path,
		Headers:      map[string]string{"Content-Type": "application/json", "Accept": "text/event-stream"},
		Body:         engineBody,
		Tokens:       float64(parsed.promptTokens + parsed.maxTokens),
		PromptTokens: float64(parsed.promptTokens),
		WaitLimit:    model.WaitLimit,
		Digest:       dispatch.DigestRequest(account.Name, path, body),
		Arrived:      arrived,
	}, parsed, mimosatide.Refusal{}
}

// streamCompletion forwards the events of the answer as they arrive.
func (server *Server) streamCompletion(ctx context.Context, c *app.RequestContext, request dispatch.Request) {
	var writer *sse.Writer
	result := server.dispatcher.RunModel(ctx, request, func(event mimosatide.Event) error {
		if writer == nil {
			c.SetStatusCode(http.StatusOK)
			writer = sse.NewWriter(c)
		}
		id := ""
		if event.Index > 0 {
			id = strconv.Itoa(event.Index)
		}
		return writer.WriteEvent(id, "", event.Data)
	})
	switch {
	case writer == nil && result.Refusal.Refused():
		writeRefusal(c, request.ID, result.Refusal)
	case writer == nil:
		server.writeAnswer(c, result)
	case result.Refusal.Refused():
		// The status has been sent already, so the refusal is sent as an error event. The
		// last event of the protocol is left out, which marks the answer as incomplete.
		_ = writer.WriteEvent("", "error", encodeRefusal(result.Refusal))
		c.SetConnectionClose()
		_ = writer.Close()
	default:
		_ = writer.Close()
	}
}

// collectCompletion combines the events of the stream into one answer.
func (server *Server) collectCompletion(ctx context.Context, c *app.RequestContext, request dispatch.Request, parsed completion) {
	builder := &answerBuilder{}
	result := server.dispatcher.RunModel(ctx, request, func(event mimosatide.Event) error {
		if event.Last {
			return nil
		}
		return builder.add(event.Data)
	})
	if result.Refusal.Refused() {
		writeRefusal(c, request.ID, result.Refusal)
		return
	}
	if result.Answer.Status != http.StatusOK {
		server.writeAnswer(c, result)
		return
	}
	body, err := builder.encode(request.ID, request.Path == chatPath, parsed)
	if err != nil {
		writeRefusal(c, request.ID, mimosatide.Refuse(mimosatide.ReasonTargetFailed, err.Error()).WithRun(mimosatide.RunUnknown))
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

// writeAnswer forwards a target's answer that isn't streamed.
func (server *Server) writeAnswer(c *app.RequestContext, result dispatch.Result) {
	if result.Replayed {
		c.Response.Header.Set(ReplayedHeader, "true")
	}
	c.Data(result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
}

func (server *Server) serveRoute(ctx context.Context, c *app.RequestContext) {
	id := server.newID()
	request, refusal := server.parseRoute(c, id)
	if refusal.Refused() {
		server.refuse(c, id, refusal)
		return
	}
	result := server.dispatcher.RunRoute(ctx, request)
	if result.Refusal.Refused() {
		writeRefusal(c, id, result.Refusal)
		return
	}
	c.Response.Header.Set(RequestHeader, id)
	server.writeAnswer(c, result)
}

// parseRoute validates and authenticates a request to a plain service. An open route
// needs no key.
func (server *Server) parseRoute(c *app.RequestContext, id string) (dispatch.Request, mimosatide.Refusal) {
	arrived := server.clock.Now()
	body, refusal := server.readBody(c)
	if refusal.Refused() {
		return dispatch.Request{}, refusal
	}
	name := c.Param("route")
	serviceRoute, known := server.store.View().Document.GetRoute(name)
	if !known {
		return dispatch.Request{}, mimosatide.Refuse(mimosatide.ReasonUnknownRoute, "no such route")
	}
	request := dispatch.Request{
		ID:             id,
		Route:          serviceRoute,
		Method:         string(c.Method()),
		Path:           routePath(c),
		Headers:        forwardedHeaders(c),
		Body:           bytes.Clone(body),
		Tokens:         serviceRoute.Tokens,
		PromptTokens:   serviceRoute.Tokens,
		WaitLimit:      serviceRoute.WaitLimit,
		IdempotencyKey: string(c.Request.Header.Peek("Idempotency-Key")),
		Arrived:        arrived,
	}
	if !serviceRoute.Open {
		digest, account, refusal := server.authenticate(c)
		if refusal.Refused() {
			return dispatch.Request{}, refusal
		}
		request.Key, request.Account = digest, account
	}
	if containsKey(readKeys(c), body, []byte(request.Path)) {
		return dispatch.Request{}, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body or the path holds the key itself")
	}
	request.Digest = dispatch.DigestRequest(request.Account.Name, request.Method+" "+name+request.Path, body)
	return request, mimosatide.Refusal{}
}

// routePath returns the rest of the path after the route's name, with the query but
// without its key parameters.
func routePath(c *app.RequestContext) string {
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	if query := removeKeyParameters(string(c.Request.QueryString())); query != "" {
		path += "?" + query
	}
	return path
}

// forwardedHeaders returns the headers of a request that targets may see.
func forwardedHeaders(c *app.RequestContext) map[string]string {
	headers := map[string]string{}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type"} {
		if value := c.Request.Header.Peek(name); len(value) > 0 {
			headers[name] = string(value)
		}
	}
	return headers
}
