package reading

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide/internal/triage"
)

// Digest returns a short digest of the name of an account or model; zero for an empty one.
func Digest(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name))
}

// DigestName returns the name that stands for a digest where requests are ordered.
func DigestName(digest uint32) string {
	if digest == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(digest), 36)
}

// byDigests returns the rank with the names by which a home knows the account and model in the questions of other
// nodes. With other names the home's own requests would have floors of their own and go before more urgent ones.
func byDigests(rank triage.Request) triage.Request {
	rank.Account, rank.Model = DigestName(Digest(rank.Account)), DigestName(Digest(rank.Model))
	return rank
}
