package stand

import (
	"container/list"
	"slices"
	"sync"
)

// blockCache is the blocks that an engine has cached, least recently used first out.
type blockCache struct {
	limit int
	order *list.List
	at    map[uint64]*list.Element
}

func newBlockCache(limit int) blockCache {
	return blockCache{
		limit: limit,
		order: list.New(),
		at:    map[uint64]*list.Element{},
	}
}

// prefix returns how many leading blocks of hashes are cached.
func (c blockCache) prefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.at[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// add caches hashes and returns the blocks that are new and those that had to go.
func (c blockCache) add(hashes []uint64) ([]uint64, []uint64) {
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

// turns gives a number of turns to those who wait, by priority and arrival.
type turns struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	turn     chan struct{}
}

func newTurns(n int) *turns {
	return &turns{
		free: n,
	}
}

// take waits for a turn, or returns false once gone is closed.
func (t *turns) take(priority int, gone <-chan struct{}) bool {
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

// give passes a turn on.
func (t *turns) give() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(t.waiting[0].turn)
	t.waiting = t.waiting[1:]
}
