package decisionlog

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// lookback is how long before a request's arrival a decision may still explain its outcome.
const lookback = 10 * time.Second

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Text string
	// Fields holds the line's key=value pairs; it is empty for lines of other programs.
	Fields map[string]string
}

// Time returns when the line was written, by its host's clock. It is zero if the line
// has no valid time.
func (line Line) Time() time.Time {
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil {
		return time.Time{}
	}
	return at
}

// Parse parses a line of key=value pairs. It skips what precedes the time, such as a
// prefix added by a log collector.
func Parse(text string) Line {
	line := Line{Text: strings.TrimSpace(text), Fields: map[string]string{}}
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return line
	}
	for rest := strings.TrimSpace(text[begin:]); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, tail, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, remaining := tail, ""
		if quoted, err := strconv.QuotedPrefix(tail); err == nil {
			remaining = tail[len(quoted):]
			// A quoted prefix can always be unquoted.
			value, _ = strconv.Unquote(quoted)
		} else {
			value, remaining, _ = strings.Cut(tail, " ")
		}
		line.Fields[key] = value
		rest = remaining
	}
	return line
}

// Read parses all lines of a log. It fails on a line longer than maxLineBytes.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		lines = append(lines, Parse(scanner.Text()))
	}
	return lines, errors.Annotate(scanner.Err(), "read log")
}

// Explain returns the lines that explain the outcome of a request, in the order of
// the log: the request's own lines, and those about its target, model or service and
// about the whole node or fleet, from shortly before its arrival to its end.
func Explain(lines []Line, request string) []Line {
	var requestLines []Line
	for _, line := range lines {
		if line.Fields["request"] == request {
			requestLines = append(requestLines, line)
		}
	}
	var explaining []Line
	for _, line := range lines {
		if line.Fields["request"] == request || isRelated(line, requestLines) {
			explaining = append(explaining, line)
		}
	}
	return explaining
}

// isRelated reports whether a line describes something that may have affected one of
// the request's lines.
func isRelated(line Line, requestLines []Line) bool {
	if line.Fields["msg"] == "request ended" {
		return false
	}
	for _, request := range requestLines {
		end := request.Time()
		took, err := time.ParseDuration(request.Fields["took"])
		if err != nil {
			took = 0
		}
		at := line.Time()
		if at.Before(end.Add(-took-lookback)) || at.After(end) {
			continue
		}
		for _, field := range []string{"target", "model"} {
			if value := request.Fields[field]; value != "" && line.Fields[field] == value {
				return true
			}
		}
		if service := line.Fields["service"]; service != "" && service == request.Fields["service"] && line.Fields["target"] == "" {
			return true
		}
		if fleetEvents[line.Fields["msg"]] {
			return true
		}
	}
	return false
}

// fleetEvents lists the messages about the whole node or fleet that may affect any request.
var fleetEvents = map[string]bool{
	"node starts": true, "node drains": true, "node ends": true, "settings reloaded": true,
	"configuration in force": true, "configuration unreadable": true,
	"store lost": true, "store answers": true, "log lines dropped": true,
	"lease taken": true, "lease lost": true, "lease given up": true, "lease released": true,
	"process held up": true, "host left": true, "host removed": true, "relay chosen": true,
}
