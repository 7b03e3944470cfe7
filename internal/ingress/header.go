package ingress

import (
	"net/http"

	"mimosatide.example/mimosatide/internal/framing"
)

const (
	// headerByteCost is the memory of a byte of a header: its text is read into a line and copied.
	headerByteCost = 2
	// headerLineCost is the memory of a line besides its text: its entry in a map, the list of its
	// values and the field that is forwarded.
	headerLineCost = 160
	// headerSlack is what is read beyond the limit: the request line is not counted by all callers.
	headerSlack = 4 << 10
)

// headerScan is the scan of the header of one request.
type headerScan struct {
	framing.HeaderScan
}

// ambiguous reports whether it is in doubt where the body of a request ends: the server does not go by each field of
// its header that says so. A length beside chunks is dropped by the server, and so are chunks in HTTP/1.0; the sender,
// or a proxy in between, may go by what was dropped.
func (scan *headerScan) ambiguous(request *http.Request) bool {
	_, length := request.Header[framing.LengthField]
	chunked := len(request.TransferEncoding) > 0
	return !scan.Ended || scan.Hidden || scan.Length != length || scan.Coding != chunked
}

// memory returns about what the header takes in memory once it is decoded.
func (scan *headerScan) memory() int64 {
	return int64(scan.Bytes)*headerByteCost + int64(scan.Lines)*headerLineCost
}
