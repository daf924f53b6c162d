package invar

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// Rule names a promise that must always hold.
type Rule uint8

const (
	// Cache is that no request relies on entries of a dead engine, another
	// team or older weights.
	Cache Rule = iota
	// Order is that every stream is delivered complete and in order.
	Order
	// Start is that a restarted router serves at once.
	Start
	// Match is that each caller gets the answer to its own request.
	Match
	// Truth is that a refusal which says "not run" is true.
	Truth
	// Once is that a non-idempotent request runs at most once.
	Once
	// Drain is that a leaving endpoint gets no new work.
	Drain
	// Stop is that a planned stop cuts no request.
	Stop
	// NoRevert is that a configuration in force never goes back.
	NoRevert
	// Fence is that no order leaves after its lease lapsed.
	Fence
	rules
)

var ruleNames = [rules]string{
	"cache", "order", "start", "match", "truth", "once", "drain", "stop", "norevert", "fence",
}

// String returns the rule's name.
func (r Rule) String() string { return ruleNames[r%rules] }

// Breach is a rule that did not hold.
type Breach struct {
	// Rule is the rule.
	Rule Rule
	// Detail says what was found.
	Detail string
	// Trace is the stack of the check.
	Trace string
}

// Error returns the rule and the detail.
func (b Breach) Error() string { return "invariant " + b.Rule.String() + ": " + b.Detail }

var (
	counts [rules]atomic.Int64
	hook   atomic.Pointer[func(Breach)]
)

// That records a breach of rule unless ok.
func That(ok bool, rule Rule, format string, args ...any) {
	if ok {
		return
	}
	counts[rule].Add(1)
	if h := hook.Load(); h != nil {
		(*h)(Breach{
			Rule:   rule,
			Detail: fmt.Sprintf(format, args...),
			Trace:  string(debug.Stack()),
		})
	}
}

// Count returns the breaches of rule since the process started.
func Count(rule Rule) int64 { return counts[rule].Load() }

// Hook has f called at each breach and returns what restores the hook before it.
func Hook(f func(Breach)) func() {
	old := hook.Swap(&f)
	return func() { hook.Store(old) }
}
