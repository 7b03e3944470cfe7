package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"mimosatide.example/mimosatide"
)

// Headers of an answer.
const (
	// RequestHeader holds the request's id.
	RequestHeader = "Mimosatide-Request"
	// RunHeader holds the run state of a refused request, NotRun or Unknown.
	RunHeader = "Mimosatide-Run"
	// ReplayedHeader is "true" if the answer is that of an earlier request with the
	// same idempotency key.
	ReplayedHeader = "Mimosatide-Replayed"
)

// statusCodes maps the reason of a refusal to the HTTP status; other reasons get 503.
var statusCodes = map[mimosatide.Reason]int{
	mimosatide.ReasonMalformed:        http.StatusBadRequest,
	mimosatide.ReasonAmbiguousBody:    http.StatusBadRequest,
	mimosatide.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	mimosatide.ReasonNoKey:            http.StatusUnauthorized,
	mimosatide.ReasonTwoKeys:          http.StatusUnauthorized,
	mimosatide.ReasonUnknownKey:       http.StatusUnauthorized,
	mimosatide.ReasonKeyWithdrawn:     http.StatusUnauthorized,
	mimosatide.ReasonUnknownModel:     http.StatusNotFound,
	mimosatide.ReasonUnknownRoute:     http.StatusNotFound,
	mimosatide.ReasonWrongMethod:      http.StatusMethodNotAllowed,
	mimosatide.ReasonBadTokenCount:    http.StatusBadRequest,
	mimosatide.ReasonLargerThanBurst:  http.StatusBadRequest,
	mimosatide.ReasonOverRate:         http.StatusTooManyRequests,
	mimosatide.ReasonDuplicateRequest: http.StatusConflict,
	mimosatide.ReasonPoisonRequest:    http.StatusUnprocessableEntity,
	mimosatide.ReasonTargetFailed:     http.StatusBadGateway,
	mimosatide.ReasonWaitExpired:      http.StatusGatewayTimeout,
}

func statusCode(reason mimosatide.Reason) int {
	if status, known := statusCodes[reason]; known {
		return status
	}
	return http.StatusServiceUnavailable
}

type errorWire struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

type envelopeWire struct {
	Error errorWire `json:"error"`
}

func encodeRefusal(refusal mimosatide.Refusal) []byte {
	body, err := json.Marshal(envelopeWire{Error: errorWire{
		Message: refusal.Detail,
		Type:    "mimosatide_refusal",
		Code:    string(refusal.Reason),
	}})
	if err != nil {
		return []byte(`{"error":{"type":"mimosatide_refusal"}}`)
	}
	return body
}

// writeRefusal answers a request with its refusal.
func writeRefusal(c *app.RequestContext, id string, refusal mimosatide.Refusal) {
	c.Response.Header.Set(RequestHeader, id)
	c.Response.Header.Set(RunHeader, string(refusal.Run))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	switch refusal.Reason {
	case mimosatide.ReasonKeyWithdrawn, mimosatide.ReasonTooLarge, mimosatide.ReasonDraining:
		c.SetConnectionClose()
	}
	c.Data(statusCode(refusal.Reason), "application/json", encodeRefusal(refusal))
}
