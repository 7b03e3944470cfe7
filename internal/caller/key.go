package caller

import (
	"bytes"
	"net/url"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"mimosatide.example/mimosatide"
)

const bearerPrefix = "Bearer "

// keyHeaders are the headers in which a caller may send its key.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key"}

// keyParameters are query parameters in which some callers send keys.
// They are removed before a request is forwarded.
var keyParameters = []string{"key", "api_key", "apikey", "api-key", "access_token", "token"}

// readKeys returns the values of all key headers of a request.
func readKeys(c *app.RequestContext) []string {
	var keys []string
	c.Request.Header.VisitAll(func(name, value []byte) {
		if slices.ContainsFunc(keyHeaders, func(known string) bool { return strings.EqualFold(known, string(name)) }) {
			keys = append(keys, strings.TrimSpace(strings.TrimPrefix(string(value), bearerPrefix)))
		}
	})
	return keys
}

// readKey returns the key of a request. It refuses a request without a key or with
// more than one.
func readKey(c *app.RequestContext) (string, mimosatide.Refusal) {
	keys := readKeys(c)
	switch {
	case len(keys) == 0 || keys[0] == "":
		return "", mimosatide.Refuse(mimosatide.ReasonNoKey, "the request shows no key: send Authorization: Bearer KEY")
	case len(keys) > 1 || strings.Contains(keys[0], ","):
		return "", mimosatide.Refuse(mimosatide.ReasonTwoKeys, "the request shows more than one key")
	default:
		return keys[0], mimosatide.Refusal{}
	}
}

// containsKey reports whether one of the parts of a request that go to a target
// contains one of the keys.
func containsKey(keys []string, parts ...[]byte) bool {
	for _, key := range keys {
		for _, part := range parts {
			if key != "" && bytes.Contains(part, []byte(key)) {
				return true
			}
		}
	}
	return false
}

// removeKeyParameters returns the query without the parameters that may hold a key.
// A query that can't be parsed is dropped, since keys in it can't be found.
func removeKeyParameters(query string) string {
	values, err := url.ParseQuery(query)
	if err != nil {
		return ""
	}
	for name := range values {
		if slices.Contains(keyParameters, strings.ToLower(name)) {
			values.Del(name)
		}
	}
	return values.Encode()
}
