package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of one request that are suspected, from the first.
	maxParts = 32
	// maxFeatureLength is the length from which a part is named by a hash of its id.
	maxFeatureLength = 32
)

// Feature is something that several requests may have in common: a part of their prompts,
// named by its id, or their whole content.
type Feature string

// Features are the features of one request.
type Features struct {
	// Parts are the parts of the prompt that other requests may share, from the first.
	Parts []Feature
	// Content stands for everything that a retry has in common with the request.
	Content Feature
}

// NewFeatures returns the features of a request with the digest of its content and the ids
// of the prompt parts that other requests may share.
func NewFeatures(content uint64, parts []string) Features {
	features := Features{Content: Feature("content-" + strconv.FormatUint(content, 16))}
	for _, id := range parts[:min(len(parts), maxParts)] {
		if len(id) > maxFeatureLength {
			id = "hash-" + strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		features.Parts = append(features.Parts, Feature("part-"+id))
	}
	return features
}

// all returns the parts and the content.
func (features Features) all() []Feature {
	return append(slices.Clip(features.Parts), features.Content)
}

func (features Features) has(feature Feature) bool {
	return feature == features.Content || slices.Contains(features.Parts, feature)
}

func (features Features) equal(other Features) bool {
	return features.Content == other.Content && slices.Equal(features.Parts, other.Parts)
}
