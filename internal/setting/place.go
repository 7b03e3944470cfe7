package setting

import "time"

// Place describes the host and zone of a node and the platform that it uses.
type Place struct {
	Zone          string        `help:"Availability zone of this host." env:"MIMOSATIDE_ZONE"`
	Host          string        `help:"Name of this host on the platform's host list." env:"MIMOSATIDE_HOST"`
	Platform      string        `help:"Address of the platform's table, objects and host list, as IP:PORT." default:"127.0.0.1:7000" env:"MIMOSATIDE_PLATFORM"`
	PlatformLimit time.Duration `help:"Deadline of one call to the platform." default:"800ms" env:"MIMOSATIDE_PLATFORM_LIMIT"`
	HostLag       time.Duration `help:"Longest lag of the host list: a host absent for longer is gone." default:"10s" env:"MIMOSATIDE_HOST_LAG"`
}

func (place Place) check(checker *checker) {
	checker.checkLength("zone", place.Zone, 1)
	checker.checkLength("host", place.Host, 1)
	checker.checkAddress("platform", place.Platform)
	checker.checkDuration("platform-limit", place.PlatformLimit, 10*time.Millisecond, time.Minute)
	checker.checkDuration("host-lag", place.HostLag, time.Second, time.Hour)
}
