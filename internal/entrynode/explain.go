package entrynode

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/gateway"
)

// explainPath is the path on the metrics address that says where a request would go.
const explainPath = "/explain"

// explainHandler answers with the explanation of the request that the query describes, by the names of the
// fields of mimosatide.CallerRequest. Parts are listed as ID:TOKENS, separated by commas.
func explainHandler(explain func(mimosatide.CallerRequest, time.Time) gateway.Explanation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		described, err := describedRequest(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		// An error means that the caller has closed the connection.
		_ = encoder.Encode(explain(described, time.Now()))
	}
}

// describedRequest decodes the description of a request. Host and Path are needed.
func describedRequest(query url.Values) (mimosatide.CallerRequest, error) {
	request := mimosatide.CallerRequest{
		ID: query.Get("ID"), Host: query.Get("Host"), Path: query.Get("Path"), Model: query.Get("Model"), Adapter: query.Get("Adapter"),
	}
	if request.Host == "" || request.Path == "" {
		return request, errors.NotValidf("a request without Host and Path")
	}
	if text := query.Get("PromptTokens"); text != "" {
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 {
			return request, errors.NotValidf("PromptTokens %q", text)
		}
		request.HasTokens, request.PromptTokens = true, tokens
	}
	for item := range strings.SplitSeq(query.Get("Parts"), ",") {
		if item == "" {
			continue
		}
		id, count, _ := strings.Cut(item, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return request, errors.NotValidf("part %q", item)
		}
		request.Parts = append(request.Parts, mimosatide.PromptPart{ID: id, Tokens: tokens})
	}
	return request, nil
}
