package holds

import (
	"math"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/baobabtally/baobabtally/internal/meter"
	"github.com/baobabtally/baobabtally/pkg/ledger"
)

const (
	// fileDescriptors are the descriptors that the platform reserves for files.
	fileDescriptors = 200
	// callerShare is the share of the sockets that callers' connections may use. The
	// rest is for endpoints, the store and other instances.
	callerShare = 0.5
	// minConnections is the least limit on connections.
	minConnections = 16
)

// Limit returns how many bytes may be held under the current soft limit of the heap, or
// 0 if there is none.
func Limit() int64 { return ledger.Budget(debug.SetMemoryLimit(-1)) }

// Connections returns how many connections callers may have if the process may have max
// descriptors; 0 stands for the limit of the process itself.
func Connections(maxDescriptors int) int {
	var own syscall.Rlimit
	n := float64(maxDescriptors)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && own.Cur < math.MaxInt32 && (n <= 0 || float64(own.Cur) < n) {
		n = float64(own.Cur)
	}
	if n <= 0 {
		return 0
	}
	return max(int(callerShare*(n-fileDescriptors)), minConnections)
}

// Keeper keeps a ledger. Use New to create one. It is safe for concurrent use.
type Keeper struct {
	mu     sync.Mutex
	ledger ledger.Ledger
	// owned is what the large entries of each owner hold. Invariant: positive values.
	owned   map[string]int64
	refused int64
}

// New returns a Keeper for limit bytes; 0 is no limit.
func New(limit int64) *Keeper {
	return &Keeper{
		ledger: ledger.New(limit),
		owned:  map[string]int64{},
	}
}

// Hold holds n bytes for owner. If they don't fit, it returns false and after what time
// they may.
func (k *Keeper) Hold(owner string, n int64) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ledger.Fits(n, k.owned[owner]) {
		k.refused++
		return k.ledger.Wait(n, time.Now()), false
	}
	k.keep(owner, n)
	return 0, true
}

// Keep holds n bytes for owner that are held in any case.
func (k *Keeper) Keep(owner string, n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep(owner, n)
}

// keep counts n bytes. The caller holds mu.
func (k *Keeper) keep(owner string, n int64) {
	k.ledger = k.ledger.WithHeld(n)
	if n > ledger.Small {
		k.owned[owner] += n
	}
}

// Free ends what Hold or Keep began, with the same arguments.
func (k *Keeper) Free(owner string, n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger = k.ledger.WithFreed(n, time.Now())
	k.disown(owner, n)
}

// disown takes n bytes from what owner holds. The caller holds mu.
func (k *Keeper) disown(owner string, n int64) {
	if n <= ledger.Small {
		return
	}
	if k.owned[owner] -= n; k.owned[owner] <= 0 {
		delete(k.owned, owner)
	}
}

// Resize holds size bytes for owner in place of held ones. If they don't fit, it holds none
// and returns false and after what time they may.
func (k *Keeper) Resize(owner string, held, size int64) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger = k.ledger.WithHeld(-held)
	k.disown(owner, held)
	if !k.ledger.Fits(size, k.owned[owner]) {
		k.refused++
		return k.ledger.Wait(size, time.Now()), false
	}
	k.keep(owner, size)
	return 0, true
}

// Unlimited reports whether any number of bytes may be held.
func (k *Keeper) Unlimited() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Limit() <= 0
}

// Add counts n bytes that are held already, and negative ones that no longer are.
func (k *Keeper) Add(n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n < 0 {
		k.ledger = k.ledger.WithFreed(-n, time.Now())
		return
	}
	k.ledger = k.ledger.WithHeld(n)
}

// gauges registers metrics.
type gauges interface {
	Gauge(name, help string, read func() []meter.Point) error
}

// Register registers the metrics of k.
func Register(g gauges, k *Keeper) error {
	return g.Gauge("held", "what is held for callers: bytes, the limit of these, and how often more was refused, by kind", func() []meter.Point {
		held, limit, refused := k.Held()
		var out []meter.Point
		for kind, value := range map[string]int64{
			"bytes":   held,
			"limit":   limit,
			"refused": refused,
		} {
			out = append(out, meter.Point{
				Labels: []string{"kind", kind},
				Value:  float64(value),
			})
		}
		return out
	})
}

// Held returns the bytes that are held, the limit, or 0 for none, and how often Hold has
// refused.
func (k *Keeper) Held() (held, limit, refused int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Held(), k.ledger.Limit(), k.refused
}
