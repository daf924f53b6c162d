package model

import (
	"container/list"
	"slices"
	"sync"
)

// Cache is an LRU cache of prompt blocks, identified by their hashes.
type Cache struct {
	capacity int
	lru      *list.List
	elements map[uint64]*list.Element
}

// NewCache returns an empty cache that holds up to capacity blocks.
func NewCache(capacity int) Cache {
	return Cache{
		capacity: capacity,
		lru:      list.New(),
		elements: map[uint64]*list.Element{},
	}
}

// PrefixLen returns the number of leading blocks of hashes that are cached.
func (c Cache) PrefixLen(hashes []uint64) int {
	for i, h := range hashes {
		if c.elements[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// Add caches hashes and returns the blocks that were stored and those that were
// evicted. Later blocks count as less recently used than earlier ones, so that
// a prompt is evicted from its end.
func (c Cache) Add(hashes []uint64) ([]uint64, []uint64) {
	var stored, removed []uint64
	for _, h := range slices.Backward(hashes) {
		if el := c.elements[h]; el != nil {
			c.lru.MoveToBack(el)
			continue
		}
		c.elements[h] = c.lru.PushBack(h)
		stored = append(stored, h)
	}
	slices.Reverse(stored)
	for len(c.elements) > c.capacity {
		el := c.lru.Front()
		h, ok := c.lru.Remove(el).(uint64)
		if !ok {
			break
		}
		delete(c.elements, h)
		removed = append(removed, h)
	}
	return stored, removed
}

// Semaphore is a counting semaphore that serves waiters by priority, lowest
// value first, and then in order of arrival.
type Semaphore struct {
	mu        sync.Mutex
	available int
	waiting   []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

// NewSemaphore returns a semaphore with n available permits.
func NewSemaphore(n int) *Semaphore {
	return &Semaphore{
		available: n,
	}
}

// Acquire waits for a permit, or returns false if cancelled is closed first.
func (s *Semaphore) Acquire(priority int, cancelled <-chan struct{}) bool {
	s.mu.Lock()
	if s.available > 0 {
		s.available--
		s.mu.Unlock()
		return true
	}
	w := &waiter{
		priority: priority,
		granted:  make(chan struct{}),
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority > priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-cancelled:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	return true
}

// Release hands a permit to the next waiter, or makes it available.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.available++
		return
	}
	close(s.waiting[0].granted)
	s.waiting = s.waiting[1:]
}
