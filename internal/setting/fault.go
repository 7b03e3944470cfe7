package setting

import (
	"fmt"
	"net"
	"time"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	Flag    string
	Message string
}

// String returns the fault as one line.
func (fault Fault) String() string {
	return "--" + fault.Flag + ": " + fault.Message
}

// checks collects faults, so that all of them are reported together.
type checks struct {
	faults []Fault
}

func (found *checks) add(flag, format string, args ...any) {
	found.faults = append(found.faults, Fault{Flag: flag, Message: fmt.Sprintf(format, args...)})
}

func (found *checks) address(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		found.add(flag, "%q is not an address of the form IP:PORT", value)
		return
	}
	if net.ParseIP(host) == nil {
		found.add(flag, "%q is not an IP number", host)
	}
	if number, err := net.LookupPort("tcp", port); err != nil || number == 0 {
		found.add(flag, "%q is not a port", port)
	}
}

func (found *checks) between(flag string, value, least, most time.Duration) {
	if value < least || value > most {
		found.add(flag, "%s is not between %s and %s", value, least, most)
	}
}

func (found *checks) number(flag string, value, least, most int) {
	if value < least || value > most {
		found.add(flag, "%d is not between %d and %d", value, least, most)
	}
}

func (found *checks) text(flag, value string, least int) {
	if len(value) < least {
		found.add(flag, "needs at least %d characters", least)
	}
}
