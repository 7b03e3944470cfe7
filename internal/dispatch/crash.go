package dispatch

import "time"

const (
	// crashReportCount is how often a crash is sent to each peer, because messages may be lost.
	crashReportCount    = 3
	crashReportInterval = 300 * time.Millisecond
)

// HandleCrashReport records a crash that another node reports.
func (service *Service) HandleCrashReport(report CrashReport) {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.crashTracker.Record(service.clock.Now(), report)
}

// reportCrash records a crash and reports it to the other nodes.
func (service *Service) reportCrash(request Request, crash string) {
	service.lock.Lock()
	service.crashTracker.Record(service.clock.Now(), CrashReport{Digest: request.Digest, ID: crash})
	service.lock.Unlock()
	service.log.Info("target crashed under a request", "request", request.ID, "crash", crash)
	message := CrashReport{Digest: request.Digest, ID: crash}
	for repeat := range crashReportCount {
		time.AfterFunc(time.Duration(repeat)*crashReportInterval, func() {
			for _, peer := range service.peers.Others() {
				service.peers.Send(peer, message)
			}
		})
	}
}
