package framing

import (
	"bytes"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

// ErrAmbiguousBody is the error of a request that leaves in doubt where its body ends.
var ErrAmbiguousBody = errors.New("the header leaves in doubt where the body ends")

// ChunkedBody is the length of a body that comes in chunks.
const ChunkedBody = -1

// hiddenField matches a field about the end of the body inside the value of another one. Hertz joins folded lines where
// they are, and what remains of a carriage return in between does not show.
var hiddenField = regexp.MustCompile(`(?i)(content-length|transfer-encoding)\s*:`)

// CheckRequest reads the header fields of a request as they were sent, and returns the length of its body in bytes, or
// ChunkedBody. version is that of the protocol, as "HTTP/1.1". It returns ErrAmbiguousBody for anything about which
// two readers may differ: a length beside a coding, several that differ, a coding that is not chunked or of a protocol
// that has none, a field that is not well formed. Fields may end with a bare line feed.
func CheckRequest(version string, fields []byte) (int64, error) {
	var length int64
	var lengthText []byte
	chunked := false
	for len(fields) > 0 {
		line, rest, _ := bytes.Cut(fields, []byte{'\n'})
		line, fields = bytes.TrimSuffix(line, []byte{'\r'}), rest
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found || !isName(name) || bytes.ContainsFunc(value, isControl) || hiddenField.Match(value) {
			return 0, errors.Annotate(ErrAmbiguousBody, "a field is not well formed")
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte(LengthField)):
			next, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || lengthText != nil && !bytes.Equal(value, lengthText) {
				return 0, errors.Annotate(ErrAmbiguousBody, "no length, or two")
			}
			length, lengthText = int64(next), value
		case bytes.EqualFold(name, []byte(CodingField)):
			if chunked || version != "HTTP/1.1" || !bytes.EqualFold(value, []byte("chunked")) {
				return 0, errors.Annotate(ErrAmbiguousBody, "a coding that is not chunked alone, or not of this protocol")
			}
			chunked = true
		}
	}
	switch {
	case chunked && lengthText != nil:
		return 0, errors.Annotate(ErrAmbiguousBody, "a length and chunks")
	case chunked:
		return ChunkedBody, nil
	default:
		return length, nil
	}
}

func isName(name []byte) bool {
	for _, next := range name {
		if !isNameByte(next) {
			return false
		}
	}
	return len(name) > 0
}

// isControl reports whether a character may not be part of the value of a field.
func isControl(next rune) bool {
	return next < ' ' && next != '\t' || next == 0x7f
}

// isNameByte reports whether a byte may be part of the name of a field.
func isNameByte(next byte) bool {
	letter := next | 0x20
	return letter >= 'a' && letter <= 'z' || next >= '0' && next <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), next) >= 0
}
