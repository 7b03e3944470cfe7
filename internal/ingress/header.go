package ingress

import (
	"bytes"
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

// The header fields that say where a body ends.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
	// lineStartBytes is what is kept of a line: a name and the byte after it.
	lineStartBytes = len(codingField) + 1
)

// headerScan counts the header of one request while it arrives, and looks for the fields that say where
// its body ends.
type headerScan struct {
	bytes int
	lines int
	// lineBytes is the length of the line that has not ended; carriageReturn says that its first byte is one.
	lineBytes      int
	carriageReturn bool
	// lineStart holds the first startBytes bytes of the line, without the skipped ones that can't begin a name.
	lineStart  [lineStartBytes]byte
	startBytes int
	skipped    int
	// begun says that a line was not empty; empty lines may precede a request.
	begun bool
	// ended says that the empty line after the header has arrived. What follows is the body.
	ended bool
	// length and coding say that there is a line with such a field, hidden that it may not be one to each reader.
	length bool
	coding bool
	hidden bool
}

// add scans bytes that have arrived, and returns how many of them belong to the header.
func (scan *headerScan) add(read []byte) int {
	added := 0
	for added < len(read) && !scan.ended {
		line, _, found := bytes.Cut(read[added:], []byte{'\n'})
		added += len(line)
		scan.addToLine(line)
		if found {
			added++
			scan.endLine()
		}
	}
	scan.bytes += added
	return added
}

func (scan *headerScan) addToLine(part []byte) {
	if scan.lineBytes == 0 && len(part) > 0 {
		scan.carriageReturn = part[0] == '\r'
	}
	scan.lineBytes += len(part)
	if scan.startBytes == 0 {
		// A line that is folded may be a field of its own to another reader.
		rest := bytes.TrimLeftFunc(part, func(next rune) bool { return next <= ' ' })
		scan.skipped += len(part) - len(rest)
		part = rest
	}
	scan.startBytes += copy(scan.lineStart[scan.startBytes:], part)
}

func (scan *headerScan) endLine() {
	empty := scan.lineBytes == 0 || scan.lineBytes == 1 && scan.carriageReturn
	start := scan.lineStart[:scan.startBytes]
	scan.lines++
	scan.ended = scan.begun && empty
	scan.begun = scan.begun || !empty
	length, coding := beginsField(start, lengthField), beginsField(start, codingField)
	scan.length = scan.length || length
	scan.coding = scan.coding || coding
	scan.hidden = scan.hidden || scan.skipped > 0 && (length || coding)
	scan.lineBytes, scan.startBytes, scan.skipped = 0, 0, 0
}

// beginsField reports whether a line begins with the name of a field, whatever may follow a name: servers differ in
// what they take for its end.
func beginsField(line []byte, name string) bool {
	if len(line) < len(name) || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return false
	}
	return len(line) == len(name) || !framing.IsNameByte(line[len(name)])
}

// ambiguous reports whether it is in doubt where the body of a request ends: the server does not go by each field of
// its header that says so. A length beside chunks is dropped by the server, and so are chunks in HTTP/1.0; the sender,
// or a proxy in between, may go by what was dropped.
func (scan *headerScan) ambiguous(request *http.Request) bool {
	_, length := request.Header[lengthField]
	chunked := len(request.TransferEncoding) > 0
	return !scan.ended || scan.hidden || scan.length != length || scan.coding != chunked
}

// memory returns about what the header takes in memory once it is decoded.
func (scan *headerScan) memory() int64 {
	return int64(scan.bytes)*headerByteCost + int64(scan.lines)*headerLineCost
}
