package mimosatide

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of an API key, in hexadecimal.
type KeyDigest string

// DigestKey returns the digest under which an API key is stored.
func DigestKey(key string) KeyDigest {
	digest := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(digest[:]))
}

// Account is a client account with its rate limit, weight and priority.
type Account struct {
	Name string
	// Rate is the refill rate of the account's token bucket over the whole fleet, in
	// tokens per second.
	Rate float64
	// Burst is the capacity of the token bucket, in tokens.
	Burst float64
	// Weight is the account's weight in fair queueing for a contended model.
	Weight float64
	// Priority is sent to the engines, which run the larger number first. In
	// AccountLimit.Priority and PathRoute.Priority the smaller number is more urgent.
	Priority int
}

// Key is an API key of a client account. Withdrawn keys are refused.
type Key struct {
	Digest    KeyDigest
	Account   string
	Withdrawn bool
}
