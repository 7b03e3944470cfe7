package framing

import (
	"bytes"

	"github.com/juju/errors"
)

// ErrAmbiguousAnswer is the error of an answer whose header has both a length and a coding, or a coding of a protocol
// that has none: it is not known where its body ends.
var ErrAmbiguousAnswer = errors.New("the header of the answer leaves in doubt where its body ends")

// The header fields that say where a body ends.
const (
	LengthField = "Content-Length"
	CodingField = "Transfer-Encoding"
	// lineStartBytes is what is kept of a line: a name and the byte after it.
	lineStartBytes = len(CodingField) + 1
)

// HeaderScan counts the header of one message as it arrives, and looks for the fields that say where its body ends.
// The zero value is that of a header of which nothing has arrived.
type HeaderScan struct {
	// Bytes and Lines count what has arrived.
	Bytes int
	Lines int
	// Ended says that the empty line after the header has arrived. What follows is the body.
	Ended bool
	// Length and Coding say that there is a line with such a field, Hidden that it may not be one to each reader.
	Length bool
	Coding bool
	Hidden bool

	// lineBytes is the length of the line that has not ended; carriageReturn says that its first byte is one.
	lineBytes      int
	carriageReturn bool
	// lineStart holds the first startBytes bytes of the line, without the skipped ones that can't begin a name.
	lineStart  [lineStartBytes]byte
	startBytes int
	skipped    int
	// begun says that a line was not empty; empty lines may precede a message. old says that the first of them begins
	// an answer of HTTP/1.0.
	begun bool
	old   bool
}

// CheckAnswer returns ErrAmbiguousAnswer if the header of an answer leaves in doubt where its body ends.
func (scan *HeaderScan) CheckAnswer() error {
	if scan.Hidden || scan.Coding && (scan.Length || scan.old) {
		return errors.Trace(ErrAmbiguousAnswer)
	}
	return nil
}

// Add scans bytes that have arrived, and returns how many of them belong to the header.
func (scan *HeaderScan) Add(read []byte) int {
	added := 0
	for added < len(read) && !scan.Ended {
		line, _, found := bytes.Cut(read[added:], []byte{'\n'})
		added += len(line)
		scan.addToLine(line)
		if found {
			added++
			scan.endLine()
		}
	}
	scan.Bytes += added
	return added
}

func (scan *HeaderScan) addToLine(part []byte) {
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

func (scan *HeaderScan) endLine() {
	empty := scan.lineBytes == 0 || scan.lineBytes == 1 && scan.carriageReturn
	start := scan.lineStart[:scan.startBytes]
	length, coding := beginsField(start, LengthField), beginsField(start, CodingField)
	scan.Lines++
	scan.Ended = scan.begun && empty
	if !scan.begun {
		scan.old = bytes.HasPrefix(start, []byte("HTTP/1.0"))
	}
	scan.begun = scan.begun || !empty
	scan.Length = scan.Length || length
	scan.Coding = scan.Coding || coding
	scan.Hidden = scan.Hidden || scan.skipped > 0 && (length || coding)
	scan.lineBytes, scan.startBytes, scan.skipped = 0, 0, 0
}

// beginsField reports whether a line begins with the name of a field, whatever may follow a name: readers differ in
// what they take for its end.
func beginsField(line []byte, name string) bool {
	if len(line) < len(name) || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return false
	}
	return len(line) == len(name) || !isNameByte(line[len(name)])
}
