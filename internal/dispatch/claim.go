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
	// maxSavedAnswer bounds the answer that is kept for a repeated call.
	maxSavedAnswer  = 32 << 10
	claimTries      = 5
	claimRetryAfter = 300 * time.Millisecond
)

// claim is the row that lets a request with an idempotency key run once.
type claim struct {
	nonce  string
	digest Digest
	// done is set once the answer is whole.
	done        bool
	status      int
	contentType string
	body        []byte
	// tooLarge is set when the answer was not kept.
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

// claimKey returns the key of the claim's row.
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
		return claim{}, errors.Annotate(err, "claim")
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

// heldClaim is a claim that this request holds.
type heldClaim struct {
	key     string
	version mimosatide.RowVersion
	value   claim
}

// takeClaim inserts the claim of a request. It returns the claim, or the
// result that another request with the same key calls for.
func (service *Service) takeClaim(ctx context.Context, request Request) (*heldClaim, Result) {
	mine := claim{nonce: service.newNonce(), digest: request.Digest}
	key := claimKey(request.Account.Name, request.IdempotencyKey)
	value, err := encodeClaim(mine)
	if err != nil {
		return nil, refused(mimosatide.Refuse(mimosatide.ReasonMalformed, err.Error()))
	}
	// Whatever the outcome, the row's nonce tells whose claim it is: the answer
	// may have been lost after the write took effect.
	_ = service.table.Commit(ctx, mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: key}},
		Writes:     []mimosatide.Write{{Key: key, Value: value}},
	})
	return service.heldFrom(ctx, key, mine)
}

// heldFrom reads a claim's row and settles whose claim it is.
func (service *Service) heldFrom(ctx context.Context, key string, mine claim) (*heldClaim, Result) {
	unavailable := mimosatide.Refuse(mimosatide.ReasonStoreUnavailable, "the platform's table does not answer").WithRetryAfter(time.Second)
	rows, err := service.table.Read(ctx, key)
	if err != nil {
		service.abandonClaim(key, mine)
		return nil, refused(unavailable)
	}
	if len(rows) == 0 {
		// The insert had no effect, and must not have one later.
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
	return nil, replay(found, mine.digest)
}

// replay answers a repeated request from the claim of the first one.
func replay(found claim, digest Digest) Result {
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

// finishClaim keeps the answer for repeated calls.
func (service *Service) finishClaim(ctx context.Context, held *heldClaim, answer mimosatide.Answer) {
	done := held.value
	done.done = true
	done.status, done.contentType = answer.Status, answer.ContentType
	done.tooLarge = len(answer.Body) > maxSavedAnswer
	if !done.tooLarge {
		done.body = answer.Body
	}
	value, err := encodeClaim(done)
	if err != nil {
		return
	}
	service.writeClaim(ctx, held, mimosatide.Write{Key: held.key, Value: value})
}

// releaseClaim frees the key of a request that certainly did not run.
func (service *Service) releaseClaim(ctx context.Context, held *heldClaim) {
	service.writeClaim(ctx, held, mimosatide.Write{Key: held.key, Delete: true})
}

func (service *Service) writeClaim(ctx context.Context, held *heldClaim, write mimosatide.Write) {
	transaction := mimosatide.Transaction{
		Conditions: []mimosatide.Condition{{Key: held.key, Version: held.version}},
		Writes:     []mimosatide.Write{write},
	}
	go func() {
		ctx := context.WithoutCancel(ctx)
		for range claimTries {
			outcome := service.table.Commit(ctx, transaction)
			if outcome == mimosatide.CommitDone || outcome == mimosatide.CommitConflict {
				return
			}
			time.Sleep(claimRetryAfter)
		}
	}()
}

// abandonClaim frees the key of a request that is refused because it is not
// known whether its claim was written.
func (service *Service) abandonClaim(key string, mine claim) {
	go func() {
		ctx := context.Background()
		for range claimTries {
			time.Sleep(claimRetryAfter)
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
