package mimosatide

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of a caller's key in hexadecimal.
type KeyDigest string

// DigestKey returns the digest under which a key is stored.
func DigestKey(key string) KeyDigest {
	digest := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(digest[:]))
}

// Account is a client account with its limits and its rank.
type Account struct {
	Name string
	// Rate is the number of tokens a second that the fleet grants.
	Rate float64
	// Burst is the largest number of tokens granted at once.
	Burst float64
	// Weight is the account's part of a contended model.
	Weight float64
	// Priority is sent to the engines; a larger number runs first.
	Priority int
}

// Key lets its holder act for a client account.
type Key struct {
	Digest    KeyDigest
	Account   string
	Withdrawn bool
}
