package framing

import (
	"bytes"
	"net/http"

	"github.com/juju/errors"
)

// ErrStatus is the error of an answer whose status is not three digits, is not within 100 to
// 599, or switches to another protocol.
var ErrStatus = errors.New("the status of the answer is not valid")

// errStatusLine is the error of an answer that does not begin with a status line.
var errStatusLine = errors.New("the answer does not begin with a status line")

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// statusLimit is the least number above the statuses of HTTP.
	statusLimit = 600
)

// CheckStatusLine checks the beginning of an answer, as much as has arrived of it. It returns
// the status, zero if more has to arrive, or an error at the first byte that can't be part of
// a valid status line.
func CheckStatusLine(begin []byte) (int, error) {
	line, _, whole := bytes.Cut(begin, []byte{'\n'})
	version, rest, found := bytes.Cut(line, []byte{' '})
	if !found {
		if whole {
			return 0, errors.Trace(errStatusLine)
		}
		return 0, checkPrefix(version)
	}
	if err := checkPrefix(version); err != nil {
		return 0, err
	}
	status, digits := 0, 0
	for _, next := range bytes.TrimLeft(rest, " ") {
		if digits == statusDigits {
			if next != ' ' && next != '\r' {
				return 0, errors.Trace(ErrStatus)
			}
			return status, nil
		}
		if next < '0' || next > '9' {
			return 0, errors.Trace(ErrStatus)
		}
		status = status*10 + int(next-'0')
		digits++
		if digits == statusDigits && !isStatus(status) || digits == 1 && (status < 1 || status > 5) {
			return 0, errors.Trace(ErrStatus)
		}
	}
	switch {
	case !whole:
		return 0, nil
	case digits < statusDigits:
		return 0, errors.Trace(ErrStatus)
	default:
		return status, nil
	}
}

// checkPrefix checks the beginning of a line against the name of the protocol.
func checkPrefix(version []byte) error {
	const name = "HTTP/"
	if !bytes.HasPrefix([]byte(name), version[:min(len(version), len(name))]) {
		return errors.Trace(errStatusLine)
	}
	return nil
}

// isStatus reports whether a status is valid: informational or final, and no switch to
// another protocol, which no request asks for.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status < statusLimit && status != http.StatusSwitchingProtocols
}

// CheckFinalStatus returns ErrStatus for a status that no final answer has.
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status >= statusLimit {
		return errors.Annotatef(ErrStatus, "%03d", status)
	}
	return nil
}
