package exchange

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/framing"
)

// headLimit is a number of bytes and of lines.
type headLimit struct {
	bytes, lines int
	// scan is that of the head which is being read.
	scan framing.HeaderScan
	// exceeded says that more was asked for.
	exceeded bool
}

// ErrHeadTooLarge is the error of an answer whose head exceeds maxHeadBytes or maxHeadLines.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// Read reads from the connection, within the limit while the head of an answer is read. The
// lines of the last piece may exceed it, because a body may have begun there.
func (open *connection) Read(buffer []byte) (int, error) {
	limit := open.headLimit
	if limit == nil {
		count, err := open.Conn.Read(buffer)
		if err == io.EOF {
			err = open.endOfInput()
		}
		return count, err
	}
	if limit.bytes <= 0 || limit.lines <= 0 {
		limit.exceeded = true
		return 0, ErrHeadTooLarge
	}
	count, err := open.Conn.Read(buffer[:min(len(buffer), limit.bytes)])
	limit.scan.Add(buffer[:count])
	limit.bytes -= count
	limit.lines -= bytes.Count(buffer[:count], []byte{'\n'})
	return count, err
}

// errJoinedHeads is the error of a head that begins with a part of another one.
var errJoinedHeads = errors.New("the head of the answer begins with a part of another one")

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// readHead reads the head of the final answer and skips informational (1xx) answers.
func (open *connection) readHead(method string) (*http.Response, error) {
	limit := &headLimit{bytes: maxHeadBytes, lines: maxHeadLines}
	open.headLimit = limit
	defer func() { open.headLimit = nil }()
	for {
		limit.scan = framing.HeaderScan{}
		// What is buffered was read with an earlier answer.
		buffered, err := open.reader.Peek(open.reader.Buffered())
		if err != nil {
			return nil, errors.Trace(err)
		}
		limit.scan.Add(buffered)
		if err := open.checkStatusLine(); err != nil {
			if limit.exceeded {
				return nil, errors.Trace(ErrHeadTooLarge)
			}
			return nil, errors.Trace(err)
		}
		response, err := http.ReadResponse(open.reader, &http.Request{Method: method})
		if limit.exceeded {
			// The error may be that of the line which was cut off.
			return nil, errors.Trace(ErrHeadTooLarge)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if countFields(response.Header) > maxHeadLines {
			return nil, errors.Trace(ErrHeadTooLarge)
		}
		if open.calls > 1 && holdsStatusLine(response) {
			return nil, errors.Trace(errJoinedHeads)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if err := limit.scan.CheckAnswer(); err != nil {
			return nil, errors.Trace(err)
		}
		return response, nil
	}
}

// checkStatusLine waits for the status of an answer, which stays unread, and checks it. The
// library takes statuses that are no HTTP, and reports others only after the whole head.
func (open *connection) checkStatusLine() error {
	for size := 1; ; {
		if _, err := open.reader.Peek(size); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
		begin, err := open.reader.Peek(open.reader.Buffered())
		if err != nil {
			return err
		}
		if status, err := framing.CheckStatusLine(begin); status != 0 || err != nil {
			return err
		}
		size = len(begin) + 1
	}
}

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// holdsStatusLine reports whether a head has a status line in its reason phrase or in a field:
// a late answer was cut there, and the answer to this call follows.
func holdsStatusLine(response *http.Response) bool {
	// Status is the code, a space and the reason phrase.
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
