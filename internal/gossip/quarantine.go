package gossip

import (
	"time"

	"mimosatide.example/mimosatide/internal/quarantine"
)

// Quarantine is a node's report of requests that crash targets.
type Quarantine struct {
	Suspicions []Suspicion `cbor:"1,keyasint,omitempty"`
	// AcquittedMillis and QuarantinedMillis hold the time since a feature was acquitted or
	// quarantined.
	AcquittedMillis   map[string]int64 `cbor:"2,keyasint,omitempty"`
	QuarantinedMillis map[string]int64 `cbor:"3,keyasint,omitempty"`
	// LiftedMillis holds the time since a quarantine was ended early.
	LiftedMillis map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// Suspicion is a request under which a target crashed.
type Suspicion struct {
	// Crash identifies the incarnation of the target.
	Crash     uint64   `cbor:"1,keyasint"`
	Parts     []string `cbor:"2,keyasint,omitempty"`
	Content   string   `cbor:"3,keyasint"`
	AgeMillis int64    `cbor:"4,keyasint,omitempty"`
}

// EncodeQuarantine returns the message for a report, nil if there is nothing to tell.
func EncodeQuarantine(report quarantine.Report) *Quarantine {
	if report.Empty() {
		return nil
	}
	message := &Quarantine{
		AcquittedMillis:   encodeAges(report.Acquittals),
		QuarantinedMillis: encodeAges(report.Quarantined),
		LiftedMillis:      encodeAges(report.Lifted),
	}
	for _, suspicion := range report.Suspicions {
		encoded := Suspicion{
			Crash: suspicion.Crash, Content: string(suspicion.Features.Content), AgeMillis: suspicion.Age.Milliseconds(),
		}
		for _, part := range suspicion.Features.Parts {
			encoded.Parts = append(encoded.Parts, string(part))
		}
		message.Suspicions = append(message.Suspicions, encoded)
	}
	return message
}

// Report returns the report that the message holds.
func (message Quarantine) Report() quarantine.Report {
	report := quarantine.Report{
		Acquittals:  decodeAges(message.AcquittedMillis),
		Quarantined: decodeAges(message.QuarantinedMillis),
		Lifted:      decodeAges(message.LiftedMillis),
	}
	for _, suspicion := range message.Suspicions {
		decoded := quarantine.ReportedSuspicion{
			Crash:    suspicion.Crash,
			Features: quarantine.Features{Content: quarantine.Feature(suspicion.Content)},
			Age:      time.Duration(suspicion.AgeMillis) * time.Millisecond,
		}
		for _, part := range suspicion.Parts {
			decoded.Features.Parts = append(decoded.Features.Parts, quarantine.Feature(part))
		}
		report.Suspicions = append(report.Suspicions, decoded)
	}
	return report
}

func encodeAges(ages map[quarantine.Feature]time.Duration) map[string]int64 {
	encoded := make(map[string]int64, len(ages))
	for feature, age := range ages {
		encoded[string(feature)] = age.Milliseconds()
	}
	return encoded
}

func decodeAges(ages map[string]int64) map[quarantine.Feature]time.Duration {
	decoded := make(map[quarantine.Feature]time.Duration, len(ages))
	for feature, age := range ages {
		decoded[quarantine.Feature(feature)] = time.Duration(age) * time.Millisecond
	}
	return decoded
}
