package quarantine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of one request that are suspected, from the first.
	maxParts = 32
	// maxFeatureLength is the length from which a part is named by a hash of its id.
	maxFeatureLength = 32
	// partSeparator stands between the parts of a feature. Ids of parts don't contain it.
	partSeparator = ","
	contentPrefix = "content-"
)

// Feature is something that several requests may have in common: one or more parts of
// their prompts, each named by its id, or their whole content.
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
	features := Features{Content: Feature(contentPrefix + strconv.FormatUint(content, 16))}
	for _, id := range parts[:min(len(parts), maxParts)] {
		if len(id) > maxFeatureLength || strings.Contains(id, partSeparator) {
			id = "hash-" + strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		features.Parts = append(features.Parts, Feature("part-"+id))
	}
	return features
}

// join returns the feature of requests that have all of the parts.
func join(parts []Feature) Feature {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, string(part))
	}
	slices.Sort(names)
	return Feature(strings.Join(names, partSeparator))
}

// isContent reports whether the feature is a whole content, not parts of prompts.
func (feature Feature) isContent() bool {
	return strings.HasPrefix(string(feature), contentPrefix)
}

// elements returns the parts of a feature, or the feature itself if it is a content.
func (feature Feature) elements() []Feature {
	var elements []Feature
	for name := range strings.SplitSeq(string(feature), partSeparator) {
		elements = append(elements, Feature(name))
	}
	return elements
}

// all returns the parts and the content.
func (features Features) all() []Feature {
	return append(slices.Clip(features.Parts), features.Content)
}

// has reports whether a request with these features has a feature.
func (features Features) has(feature Feature) bool {
	if feature == features.Content {
		return true
	}
	return features.hasAll(feature.elements())
}

func (features Features) hasAll(parts []Feature) bool {
	for _, part := range parts {
		if !slices.Contains(features.Parts, part) {
			return false
		}
	}
	return true
}

func (features Features) equal(other Features) bool {
	return features.Content == other.Content && slices.Equal(features.Parts, other.Parts)
}
