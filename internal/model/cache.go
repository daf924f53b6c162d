package model

import (
	"container/list"
	"slices"
	"sync"
)

// Cache is the blocks that an engine has cached, least recently used first out.
type Cache struct {
	limit int
	order *list.List
	at    map[uint64]*list.Element
}

// NewCache returns an empty cache of limit blocks.
func NewCache(limit int) Cache {
	return Cache{
		limit: limit,
		order: list.New(),
		at:    map[uint64]*list.Element{},
	}
}

// Prefix returns how many leading blocks of hashes are cached.
func (c Cache) Prefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.at[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// Add caches hashes and returns the blocks that are new and those that had to go.
func (c Cache) Add(hashes []uint64) ([]uint64, []uint64) {
	var stored, removed []uint64
	for _, h := range slices.Backward(hashes) {
		if el := c.at[h]; el != nil {
			c.order.MoveToBack(el)
			continue
		}
		c.at[h] = c.order.PushBack(h)
		stored = append(stored, h)
	}
	slices.Reverse(stored)
	for len(c.at) > c.limit {
		el := c.order.Front()
		h, ok := c.order.Remove(el).(uint64)
		if !ok {
			break
		}
		delete(c.at, h)
		removed = append(removed, h)
	}
	return stored, removed
}

// Turns gives a number of turns to those who wait, by priority and arrival.
type Turns struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	turn     chan struct{}
}

// NewTurns returns n free turns.
func NewTurns(n int) *Turns {
	return &Turns{
		free: n,
	}
}

// Take waits for a turn, or returns false once gone is closed.
func (t *Turns) Take(priority int, gone <-chan struct{}) bool {
	t.mu.Lock()
	if t.free > 0 {
		t.free--
		t.mu.Unlock()
		return true
	}
	w := &waiter{
		priority: priority,
		turn:     make(chan struct{}),
	}
	at := len(t.waiting)
	for at > 0 && t.waiting[at-1].priority > priority {
		at--
	}
	t.waiting = slices.Insert(t.waiting, at, w)
	t.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-gone:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, w); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return false
	}
	return true
}

// Give passes a turn on.
func (t *Turns) Give() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(t.waiting[0].turn)
	t.waiting = t.waiting[1:]
}
