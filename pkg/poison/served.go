package poison

import "sync"

const (
	// shards is the number of independently locked sets of a Served.
	shards = 16
	// maxGeneration is the number of parts in a generation of a shard. All shards
	// together remember at least 32,768 parts, in about 2 MB.
	maxGeneration = 2048
)

// Served remembers which parts engines have served. The zero value is empty. It
// is safe for concurrent use. When it is full it forgets the parts that were not
// served for the longest time, so that parts in use stay, whatever callers send.
type Served struct {
	shards [shards]servedShard
}

// servedShard is a set in two generations.
type servedShard struct {
	mu     sync.RWMutex
	recent map[Part]struct{}
	older  map[Part]struct{}
}

// Add records that an engine has served a request with the given parts.
func (s *Served) Add(parts []Part) {
	for _, p := range parts {
		s.shards[uint64(p)%shards].add(p)
	}
}

// Without returns the parts that are not known to have been served.
func (s *Served) Without(parts []Part) []Part {
	var out []Part
	for _, p := range parts {
		if !s.shards[uint64(p)%shards].contains(p) {
			out = append(out, p)
		}
	}
	return out
}

// Of returns the parts that are known to have been served.
func (s *Served) Of(parts []Part) []Part {
	var out []Part
	for _, p := range parts {
		if s.shards[uint64(p)%shards].contains(p) {
			out = append(out, p)
		}
	}
	return out
}

func (s *servedShard) add(p Part) {
	s.mu.RLock()
	_, known := s.recent[p]
	s.mu.RUnlock()
	if known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= maxGeneration {
		s.older, s.recent = s.recent, make(map[Part]struct{}, maxGeneration/8)
	}
	s.recent[p] = struct{}{}
}

func (s *servedShard) contains(p Part) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, recent := s.recent[p]
	_, older := s.older[p]
	return recent || older
}
