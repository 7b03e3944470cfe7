package setting

import "time"

// Work holds the limits on requests, background tasks and idle models of a node.
type Work struct {
	MaxBody       int           `help:"Largest request body, in bytes." default:"4194304" env:"MIMOSATIDE_MAX_BODY"`
	MaxHeader     int           `help:"Largest request headers, in bytes." default:"16384" env:"MIMOSATIDE_MAX_HEADER"`
	MaxQueued     int           `help:"Largest number of requests that wait or run at this node." default:"20000" env:"MIMOSATIDE_MAX_QUEUED"`
	Workers       int           `help:"Largest number of background tasks that run at once." default:"2048" env:"MIMOSATIDE_WORKERS"`
	ProgressLimit time.Duration `help:"Longest time without data from a target before its connection is closed." default:"5s" env:"MIMOSATIDE_PROGRESS_LIMIT"`
	DrainLimit    time.Duration `help:"Longest wait for running requests at a shutdown." default:"10m" env:"MIMOSATIDE_DRAIN_LIMIT"`
	KeepFactor    float64       `help:"Time for which an idle model stays loaded, as a multiple of its load time." default:"20" env:"MIMOSATIDE_KEEP_FACTOR"`
	MinKeep       time.Duration `help:"Shortest time for which an idle model stays loaded." default:"30s" env:"MIMOSATIDE_MIN_KEEP"`
}

func (work Work) check(checker *checker) {
	checker.checkInt("max-body", work.MaxBody, 1024, 256<<20)
	checker.checkInt("max-header", work.MaxHeader, 1024, 1<<20)
	checker.checkInt("max-queued", work.MaxQueued, 1, 1_000_000)
	checker.checkInt("workers", work.Workers, 16, 100_000)
	checker.checkDuration("progress-limit", work.ProgressLimit, 100*time.Millisecond, 10*time.Minute)
	checker.checkDuration("drain-limit", work.DrainLimit, time.Second, 24*time.Hour)
	checker.checkDuration("min-keep", work.MinKeep, time.Second, 24*time.Hour)
	if work.KeepFactor < 0 {
		checker.addFault("keep-factor", "is negative")
	}
}
