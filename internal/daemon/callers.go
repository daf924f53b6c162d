package daemon

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/pkg/label"
)

// callers finds callers by the hash of their key.
type callers map[string]filter.Caller

func newCallers(list []setup.Caller) callers {
	out := make(callers, len(list))
	for _, c := range list {
		out[c.Hash] = filter.Caller{
			Team:   c.Team,
			Labels: label.FromMap(c.Labels),
		}
	}
	return out
}

// Find returns the caller whose key is secret.
func (c callers) Find(secret string) (filter.Caller, bool) {
	if secret == "" {
		return filter.Caller{}, false
	}
	found, ok := c[HashKey(secret)]
	return found, ok
}

// HashKey returns the hash of an API key as it stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
