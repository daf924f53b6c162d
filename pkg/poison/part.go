package poison

import (
	"strconv"
	"strings"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

// Part identifies a part of the prompts for one model of a service. The same
// part of another model's prompts has a different value.
type Part uint64

// String returns the part as it appears in logs.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

const (
	// ownParts is how many parts at the end of a prompt belong to one request or
	// session only.
	ownParts = 1
	// maxParts limits how many parts of a prompt are considered. Callers choose
	// how many parts their prompts have. It is at least as many as the front end
	// reads: a part that is left out here is never found.
	maxParts = 256
)

// Shared returns the parts of a prompt that other requests may have in common
// with it. The last part is left out: it belongs to the request itself.
func Shared(service, model string, parts []prefix.Part) []Part {
	n := min(len(parts)-ownParts, maxParts)
	if n <= 0 {
		return nil
	}
	salt := prefix.Salt(prefix.Scope(service), model, "")
	out := make([]Part, 0, n)
	for _, p := range parts[:n] {
		out = append(out, Part(prefix.PartKey(salt, p.ID)))
	}
	return out
}

// Text returns parts as one word for logs.
func Text(parts []Part) string {
	words := make([]string, 0, len(parts))
	for _, p := range parts {
		words = append(words, p.String())
	}
	return strings.Join(words, ",")
}
