package origin

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"
)

const (
	// maxVersions bounds the versions of a service and maxServices the services, so that
	// the encoded form fits into a row of the store. Engines with a version beyond begin
	// no streams that can be resumed.
	maxVersions = 16
	maxServices = 1024
	// maxVersionBytes bounds a version.
	maxVersionBytes = 64
)

// Listed holds the versions that may have begun streams, by service. It is immutable. The
// zero value lists none.
type Listed struct {
	// versions maps a service to its sorted versions. Invariant: neither the map nor one
	// of its slices is written in place, and no slice is empty.
	versions map[string][]string
}

// With returns a copy of l that lists version for service, or l if it does or if there is
// no room.
func (l Listed) With(service, version string) Listed {
	known, ok := l.versions[service]
	at, found := slices.BinarySearch(known, version)
	if found || len(known) >= maxVersions || len(version) > maxVersionBytes || !ok && len(l.versions) >= maxServices {
		return l
	}
	next := maps.Clone(l.versions)
	if next == nil {
		next = map[string][]string{}
	}
	next[service] = slices.Insert(slices.Clone(known), at, version)
	return Listed{
		versions: next,
	}
}

// Without returns a copy of l that does not list version for service.
func (l Listed) Without(service, version string) Listed {
	known := l.versions[service]
	at, found := slices.BinarySearch(known, version)
	if !found {
		return l
	}
	next := maps.Clone(l.versions)
	next[service] = slices.Delete(slices.Clone(known), at, at+1)
	if len(next[service]) == 0 {
		delete(next, service)
	}
	return Listed{
		versions: next,
	}
}

// WithAll returns a copy of l that also lists what other does.
func (l Listed) WithAll(other Listed) Listed {
	for service, versions := range other.versions {
		for _, v := range versions {
			l = l.With(service, v)
		}
	}
	return l
}

// Contains reports whether version is listed for service.
func (l Listed) Contains(service, version string) bool {
	_, found := slices.BinarySearch(l.versions[service], version)
	return found
}

// Only returns the version of service if just one is listed.
func (l Listed) Only(service string) (string, bool) {
	if known := l.versions[service]; len(known) == 1 {
		return known[0], true
	}
	return "", false
}

// Several reports whether service has more than one version.
func (l Listed) Several(service string) bool { return len(l.versions[service]) > 1 }

// Empty reports whether no version is listed for service.
func (l Listed) Empty(service string) bool { return len(l.versions[service]) == 0 }

// Mixed reports whether any service has more than one version.
func (l Listed) Mixed() bool {
	for _, versions := range l.versions {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// Equal reports whether l and other list the same.
func (l Listed) Equal(other Listed) bool {
	return maps.EqualFunc(l.versions, other.versions, slices.Equal[[]string])
}

// Each calls f for each version of each service.
func (l Listed) Each(f func(service, version string)) {
	for service, versions := range l.versions {
		for _, v := range versions {
			f(service, v)
		}
	}
}

// row is the encoded form of a Listed.
type row struct {
	Software map[string][]string `json:"software"`
}

// Marshal encodes l for the store and for peers.
func (l Listed) Marshal() ([]byte, error) {
	data, err := json.Marshal(row{
		Software: l.versions,
	})
	return data, errors.Trace(err)
}

// Unmarshal decodes what Marshal encoded.
func Unmarshal(data []byte) (Listed, error) {
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return Listed{}, errors.Annotate(err, "the row of the engines' software is malformed: remove it, and the instances write it anew")
	}
	var l Listed
	for _, service := range slices.Sorted(maps.Keys(r.Software)) {
		for _, v := range r.Software[service] {
			l = l.With(service, v)
		}
	}
	return l, nil
}
