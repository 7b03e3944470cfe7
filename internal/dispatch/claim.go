package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	claimKeyPrefix = "claim/"
	// maxStoredAnswerBytes bounds the body of an answer that is stored for replay.
	maxStoredAnswerBytes = 32 << 10
	claimWriteAttempts   = 5
	claimRetryDelay      = 300 * time.Millisecond
)

// claim is the table row that ensures that a request with an idempotency key runs
// at most once.
type claim struct {
	// nonce identifies the attempt that inserted the row.
	nonce  string
	digest Digest
	// done is set once the complete answer is stored.
	done        bool
	status      int
	contentType string
	body        []byte
	// tooLarge is set when the body was too large to store.
	tooLarge bool
}

type claimWire struct {
	Nonce       string
	Digest      string
	Done        bool
	Status      int
	ContentType string
	Body        []byte
	TooLarge    bool
}

// claimKey returns the row key of a claim. The idempotency key is hashed.
func claimKey(account, idempotencyKey string) string {
	digest := sha256.Sum256([]byte(idempotencyKey))
	return claimKeyPrefix + account + "/" + hex.EncodeToString(digest[:])
}

func encodeClaim(held claim) ([]byte, error) {
	return json.Marshal(claimWire{
		Nonce:       held.nonce,
		Digest:      string(held.digest),
		Done:        held.done,
		Status:      held.status,
		ContentType: held.contentType,
		Body:        held.body,
		TooLarge:    held.tooLarge,
	})
}

func decodeClaim(value []byte) (claim, error) {
	var wire claimWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return claim{}, errors.Annotate(err, "decoding claim row")
	}
	return claim{
		nonce:       wire.Nonce,
		digest:      Digest(wire.Digest),
		done:        wire.Done,
		status:      wire.Status,
		contentType: wire.ContentType,
		body:        wire.Body,
		tooLarge:    wire.TooLarge,
	}, nil
}

// heldClaim is a claim that belongs to the current request.
type heldClaim struct {
	key     string
	version mimosatide.RowVersion
	value   claim
}

// acquireClaim inserts the claim of a request. It returns the claim, or the
// result for a request whose idempotency key is already claimed.
func (service *Service) acquireClaim(ctx context.Context, request Request) (*heldClaim, Result) {
	mine := claim{nonce: service.newNonce(), digest: request.Digest}
	key := claimKey(request.Account.Name, request.IdempotencyKey)
	value, err := encodeClaim(mine)
	if err != nil {
		return nil, refused(mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error()))
	}
	// The outcome is ignored, because the answer may be lost after the write took
	// effect. The nonce in the row shows which request holds the claim.
	_ = service.table.Commit(ctx, mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: key}},
		Writes:     []mimosatide.Write{{Key: key, Value: value}},
	})
	return service.resolveClaim(ctx, key, mine)
}

// resolveClaim reads a claim's row and determines from its nonce which request holds it.
func (service *Service) resolveClaim(ctx context.Context, key string, mine claim) (*heldClaim, Result) {
	unavailable := mimosatide.Refuse(mimosatide.ReasonStoreUnavailable, "the platform's table does not answer").WithRetryAfter(time.Second)
	rows, err := service.table.Read(ctx, key)
	if err != nil {
		service.abandonClaim(key, mine)
		return nil, refused(unavailable)
	}
	if len(rows) == 0 {
		// If the insert still takes effect, its claim must be deleted.
		service.abandonClaim(key, mine)
		return nil, refused(unavailable)
	}
	found, err := decodeClaim(rows[0].Value)
	if err != nil {
		return nil, refused(unavailable.WithRun(mimosatide.RunUnknown))
	}
	if found.nonce == mine.nonce {
		return &heldClaim{key: key, version: rows[0].Version, value: mine}, Result{}
	}
	return nil, replayResult(found, mine.digest)
}

// replayResult returns the result for a repeated request, from the claim of the first one.
func replayResult(found claim, digest Digest) Result {
	switch {
	case found.digest != digest:
		return refused(mimosatide.Refuse(mimosatide.ReasonDuplicateRequest, "the idempotency key was used for another request"))
	case !found.done:
		refusal := mimosatide.Refuse(mimosatide.ReasonDuplicateRequest, "a request with this idempotency key may be running or have run")
		return refused(refusal.WithRun(mimosatide.RunUnknown))
	case found.tooLarge:
		refusal := mimosatide.Refuse(mimosatide.ReasonDuplicateRequest, "the request has run; its answer was too large to keep")
		return refused(refusal.WithRun(mimosatide.RunUnknown))
	default:
		answer := mimosatide.Answer{Status: found.status, ContentType: found.contentType, Body: found.body}
		return Result{Answer: answer, Replayed: true}
	}
}

// completeClaim stores the answer in the claim, for replay to repeated requests.
func (service *Service) completeClaim(ctx context.Context, held *heldClaim, answer mimosatide.Answer) {
	done := held.value
	done.done = true
	done.status, done.contentType = answer.Status, answer.ContentType
	done.tooLarge = len(answer.Body) > maxStoredAnswerBytes
	if !done.tooLarge {
		done.body = answer.Body
	}
	value, err := encodeClaim(done)
	if err != nil {
		return
	}
	service.writeClaim(ctx, held, mimosatide.Write{Key: held.key, Value: value})
}

// releaseClaim deletes the claim of a request that certainly did not run.
func (service *Service) releaseClaim(ctx context.Context, held *heldClaim) {
	service.writeClaim(ctx, held, mimosatide.Write{Key: held.key, Delete: true})
}

// writeClaim writes the claim's row in the background, on condition that the row
// is unchanged, and retries when the outcome is not known.
func (service *Service) writeClaim(ctx context.Context, held *heldClaim, write mimosatide.Write) {
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: held.key, Version: held.version}},
		Writes:     []mimosatide.Write{write},
	}
	go func() {
		ctx := context.WithoutCancel(ctx)
		for range claimWriteAttempts {
			outcome := service.table.Commit(ctx, transaction)
			if outcome == mimosatide.CommitDone || outcome == mimosatide.CommitConflict {
				return
			}
			time.Sleep(claimRetryDelay)
		}
	}()
}

// abandonClaim deletes the claim of a refused request in the background, in case
// the claim was written although the node could not confirm it.
func (service *Service) abandonClaim(key string, mine claim) {
	go func() {
		ctx := context.Background()
		for range claimWriteAttempts {
			time.Sleep(claimRetryDelay)
			rows, err := service.table.Read(ctx, key)
			if err != nil {
				continue
			}
			if len(rows) == 0 {
				return
			}
			if found, err := decodeClaim(rows[0].Value); err != nil || found.nonce != mine.nonce {
				return
			}
			service.writeClaim(ctx, &heldClaim{key: key, version: rows[0].Version}, mimosatide.Write{Key: key, Delete: true})
			return
		}
	}()
}
