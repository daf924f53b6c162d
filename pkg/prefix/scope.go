package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"slices"
)

// Scope names a set of cached prefixes that teams may find. The zero value is the shared
// scope of a fleet without dedicated teams.
type Scope string

// sharedMark begins the names of shared scopes. Names of teams are escaped, so that none
// begins with it.
const sharedMark = "!"

// TeamScope returns the scope of a single team.
func TeamScope(team string) Scope { return Scope(url.PathEscape(team)) }

// SharedScope returns the scope that all teams share except the given ones. The scope
// is derived from the excluded teams alone, so a prefix in it is never one that an
// excluded team cached, whenever that was and whatever instance sent the request.
func SharedScope(excluded []string) Scope {
	if len(excluded) == 0 {
		return ""
	}
	var encoded []byte
	for _, team := range slices.Sorted(slices.Values(excluded)) {
		encoded = binary.AppendUvarint(encoded, uint64(len(team)))
		encoded = append(encoded, team...)
	}
	digest := sha256.Sum256(encoded)
	return Scope(sharedMark + hex.EncodeToString(digest[:16]))
}
