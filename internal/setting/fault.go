package setting

import (
	"fmt"
	"net"
	"time"
)

// Fault is an invalid setting.
type Fault struct {
	// Flag is the name of the flag without the leading dashes.
	Flag    string
	Message string
}

// String returns the fault as one line: the flag and the message.
func (fault Fault) String() string {
	return "--" + fault.Flag + ": " + fault.Message
}

// checker validates settings and collects the faults, so that all of them are
// reported together.
type checker struct {
	faults []Fault
}

func (checker *checker) addFault(flag, format string, args ...any) {
	checker.faults = append(checker.faults, Fault{Flag: flag, Message: fmt.Sprintf(format, args...)})
}

func (checker *checker) checkAddress(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		checker.addFault(flag, "%q is not an address of the form IP:PORT", value)
		return
	}
	if net.ParseIP(host) == nil {
		checker.addFault(flag, "%q is not an IP address", host)
	}
	if number, err := net.LookupPort("tcp", port); err != nil || number == 0 {
		checker.addFault(flag, "%q is not a valid port", port)
	}
}

func (checker *checker) checkDuration(flag string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		checker.addFault(flag, "%s is not between %s and %s", value, lowest, highest)
	}
}

func (checker *checker) checkInt(flag string, value, lowest, highest int) {
	if value < lowest || value > highest {
		checker.addFault(flag, "%d is not between %d and %d", value, lowest, highest)
	}
}

func (checker *checker) checkLength(flag, value string, shortest int) {
	if len(value) < shortest {
		checker.addFault(flag, "needs at least %d characters", shortest)
	}
}
