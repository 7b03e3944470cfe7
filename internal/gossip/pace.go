package gossip

import (
	"math"
	"time"

	"mimosatide.example/mimosatide/internal/pace"
)

// Pace is the pace of a target according to the requests of the node that sends the digest.
type Pace struct {
	Target string `cbor:"1,keyasint"`
	// Born is the start of the target's incarnation in milliseconds of Unix time.
	Born int64 `cbor:"2,keyasint"`
	// Percent is the time that the target takes, in percent of the usual time at its service.
	Percent int64 `cbor:"3,keyasint"`
}

// EncodePaces returns the reports for a digest; nil if there are none.
func EncodePaces(reports []pace.Report) []Pace {
	var encoded []Pace
	for _, report := range reports {
		encoded = append(encoded, Pace{
			Target: report.Target, Born: report.Born.UnixMilli(), Percent: int64(math.Round(report.Factor * 100)),
		})
	}
	return encoded
}

// PaceReports returns the reports that the digest holds, at most pace.MaxReports.
func (digest Digest) PaceReports() []pace.Report {
	var reports []pace.Report
	for _, encoded := range digest.Paces[:min(len(digest.Paces), pace.MaxReports)] {
		reports = append(reports, pace.Report{
			Target: encoded.Target, Born: time.UnixMilli(encoded.Born), Factor: float64(encoded.Percent) / 100,
		})
	}
	return reports
}
