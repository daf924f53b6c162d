package invar

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// Rule is an invariant of the router.
type Rule uint8

const (
	// Cache requires that no request relies on cache entries of a dead engine,
	// another team or older weights.
	Cache Rule = iota
	// Order requires that every stream is delivered completely and in order.
	Order
	// Start requires that a restarted router serves requests immediately.
	Start
	// Match requires that each caller gets the response to its own request.
	Match
	// Truth requires that no endpoint executed a request that is rejected as "not
	// run".
	Truth
	// Once requires that a non-idempotent request is executed at most once.
	Once
	// Drain requires that a departing endpoint gets no new requests.
	Drain
	// Stop requires that a planned shutdown interrupts no request.
	Stop
	// NoRevert requires that an instance never returns to an older configuration.
	NoRevert
	// Fence requires that no order is sent after the lease for it expired.
	Fence
	ruleCount
)

var ruleNames = [ruleCount]string{
	"cache", "order", "start", "match", "truth", "once", "drain", "stop", "norevert", "fence",
}

// String returns the name of the rule in metrics and logs.
func (r Rule) String() string { return ruleNames[r%ruleCount] }

// Violation describes a failed check of a rule.
type Violation struct {
	// Rule is the violated rule.
	Rule Rule
	// Detail describes the violation.
	Detail string
	// Trace is the stack trace of the failed check.
	Trace string
}

// Error returns the rule and the detail.
func (v Violation) Error() string { return "invariant " + v.Rule.String() + ": " + v.Detail }

var (
	violations [ruleCount]atomic.Int64
	hook       atomic.Pointer[func(Violation)]
)

// Check records a violation of rule unless ok is true.
func Check(ok bool, rule Rule, format string, args ...any) {
	if ok {
		return
	}
	violations[rule].Add(1)
	if h := hook.Load(); h != nil {
		(*h)(Violation{
			Rule:   rule,
			Detail: fmt.Sprintf(format, args...),
			Trace:  string(debug.Stack()),
		})
	}
}

// Count returns the number of violations of rule since the process started.
func Count(rule Rule) int64 { return violations[rule].Load() }

// Hook sets f as the function that is called for each violation. The returned
// function restores the previous hook.
func Hook(f func(Violation)) func() {
	old := hook.Swap(&f)
	return func() { hook.Store(old) }
}
