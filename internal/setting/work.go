package setting

import "time"

// Work bounds the requests that a node takes.
type Work struct {
	MaxBody       int           `help:"Largest request body, in bytes." default:"4194304" env:"MIMOSATIDE_MAX_BODY"`
	MaxHeader     int           `help:"Largest request headers, in bytes." default:"16384" env:"MIMOSATIDE_MAX_HEADER"`
	MaxQueued     int           `help:"Most requests that wait or run at this node." default:"20000" env:"MIMOSATIDE_MAX_QUEUED"`
	Workers       int           `help:"Most background tasks at once." default:"2048" env:"MIMOSATIDE_WORKERS"`
	ProgressLimit time.Duration `help:"Longest silence of a target before its connection is given up." default:"5s" env:"MIMOSATIDE_PROGRESS_LIMIT"`
	DrainLimit    time.Duration `help:"Longest wait for running requests at a shutdown." default:"10m" env:"MIMOSATIDE_DRAIN_LIMIT"`
	KeepFactor    float64       `help:"Load times for which an idle model stays loaded." default:"20" env:"MIMOSATIDE_KEEP_FACTOR"`
	MinKeep       time.Duration `help:"Shortest time for which an idle model stays loaded." default:"30s" env:"MIMOSATIDE_MIN_KEEP"`
}

func (work Work) check(found *checks) {
	found.number("max-body", work.MaxBody, 1024, 256<<20)
	found.number("max-header", work.MaxHeader, 1024, 1<<20)
	found.number("max-queued", work.MaxQueued, 1, 1_000_000)
	found.number("workers", work.Workers, 16, 100_000)
	found.between("progress-limit", work.ProgressLimit, 100*time.Millisecond, 10*time.Minute)
	found.between("drain-limit", work.DrainLimit, time.Second, 24*time.Hour)
	found.between("min-keep", work.MinKeep, time.Second, 24*time.Hour)
	if work.KeepFactor < 0 {
		found.add("keep-factor", "is negative")
	}
}
