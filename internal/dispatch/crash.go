package dispatch

import "time"

const (
	// crashTellings is how often a crash is told to each peer, because messages may be lost.
	crashTellings  = 3
	crashTellAgain = 300 * time.Millisecond
)

// TakeCrash notes a crash that another node has seen.
func (service *Service) TakeCrash(crash Crash) {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.suspects.Note(service.clock.Now(), crash)
}

// noteCrash counts a crash and tells the other nodes.
func (service *Service) noteCrash(request Request, crash string) {
	service.lock.Lock()
	service.suspects.Note(service.clock.Now(), Crash{Digest: request.Digest, Crash: crash})
	service.lock.Unlock()
	service.log.Info("target crashed under a request", "request", request.ID, "crash", crash)
	message := Crash{Digest: request.Digest, Crash: crash}
	for telling := range crashTellings {
		time.AfterFunc(time.Duration(telling)*crashTellAgain, func() {
			for _, other := range service.peers.Others() {
				service.peers.Send(other, message)
			}
		})
	}
}
