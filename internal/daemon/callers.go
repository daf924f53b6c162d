package daemon

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/pkg/label"
)

// callerDirectory maps the hash of an API key to its caller.
type callerDirectory map[string]filter.Caller

func newCallerDirectory(list []setup.Caller) callerDirectory {
	out := make(callerDirectory, len(list))
	for _, c := range list {
		out[c.Hash] = filter.Caller{
			Team:   c.Team,
			Labels: label.FromMap(c.Labels),
		}
	}
	return out
}

// Find returns the caller whose API key is secret.
func (c callerDirectory) Find(secret string) (filter.Caller, bool) {
	if secret == "" {
		return filter.Caller{}, false
	}
	found, ok := c[HashKey(secret)]
	return found, ok
}

// HashKey returns the hash of an API key in the form that the settings hold: the
// hexadecimal SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
