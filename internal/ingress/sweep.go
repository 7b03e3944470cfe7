package ingress

import (
	"sync/atomic"
	"time"
)

const (
	// sweepInterval is the time between two sweeps, and the resolution of the clock.
	sweepInterval = 250 * time.Millisecond
	// maxClockStep is how far the clock goes on at most in one sweep. While the process is held
	// up, it does not read what its callers send.
	maxClockStep = 2 * sweepInterval
	// reportInterval is the least time between two log lines about one cause.
	reportInterval = 5 * time.Second
	// acknowledgedAfter is for how long a write has to be in progress until the sweep asks the
	// kernel how far it got.
	acknowledgedAfter = time.Second
)

// closings counts the connections that were closed, by cause.
type closings struct {
	counts    [maxCauses]atomic.Int64
	addresses [maxCauses]atomic.Value
	// reported are the counts that have been passed to the meter, logged those that have a line.
	reported [maxCauses]int64
	logged   [maxCauses]int64
	loggedAt time.Duration
}

// count counts a connection that is closed for a cause.
func (server *Server) count(cause Cause, address string) {
	for index, known := range causes {
		if known == cause {
			server.closings.counts[index].Add(1)
			server.closings.addresses[index].Store(address)
		}
	}
}

// sweepUntilEnd sweeps until no more connections are accepted and all have ended.
func (server *Server) sweepUntilEnd() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := <-ticker.C
		server.clock.Add(int64(min(now.Sub(last), maxClockStep)))
		last = now
		server.sweep()
		select {
		case <-server.served:
			if server.openCount() == 0 {
				return
			}
		default:
		}
	}
}

// sweep closes the connections that are overdue.
func (server *Server) sweep() {
	now, limits, pressed := server.now(), server.settings.Limits(), server.settings.Memory.Pressed()
	open := server.connections()
	for _, connection := range open {
		if connection.blocked(now) >= acknowledgedAfter {
			connection.noteAcknowledged(now)
		}
		stage := connection.Stage()
		cause := limits.Overdue(connection.Member, now, pressed)
		if cause == CauseNone || connection.overdue {
			continue
		}
		switch cause {
		case CauseUnread:
			connection.reset()
			connection.overdue = true
		case CauseBodyStalled:
			connection.overdue = connection.stall()
		default:
			connection.overdue = connection.closeFrom(stage)
		}
		if connection.overdue {
			server.count(cause, connection.source.address)
		}
	}
	server.report(len(open), now)
}

// report passes the numbers of connections to the meter, and logs why some were closed.
func (server *Server) report(open int, now time.Duration) {
	message := "callers' connections closed"
	if server.settings.Port == "" {
		server.meter.SetGauge("caller_connections", float64(open))
		server.meter.SetGauge("caller_connections_limit", float64(server.settings.MaxConnections))
	} else {
		message = "connections to the " + server.settings.Port + " port closed"
	}
	closings := &server.closings
	logs := now-closings.loggedAt >= reportInterval
	if logs {
		closings.loggedAt = now
	}
	for index, cause := range causes {
		count := closings.counts[index].Load()
		if count > closings.reported[index] {
			server.meter.CountClosedConnections(server.settings.Port, string(cause), count-closings.reported[index])
			closings.reported[index] = count
		}
		// The end of an idle timeout is usual.
		if logs && cause != CauseIdle && count > closings.logged[index] {
			server.log.Info(message, "cause", cause, "connections", count-closings.logged[index],
				"last", closings.addresses[index].Load(), "open", open)
			closings.logged[index] = count
		}
	}
}
