package allot

import "time"

const (
	// Hold is how long the grantor counts an instance as in touch after an ask that
	// renews the contact.
	Hold = 1 * time.Second
	// holdMargin is how much longer the instance waits before it spends a part of its
	// own. It covers the way of an ask to the grantor.
	holdMargin = 500 * time.Millisecond
)

// Touch is the contact of an instance with the grantor. It ensures that the part of the
// instance in a rate is used by the grantor or by the instance, never by both. It is
// immutable.
type Touch struct {
	// grantor is the instance that was joined, and session identifies what it remembers;
	// empty if there is none.
	grantor string
	session string
	// until is when no grantor counts this instance any more, at the latest.
	until time.Time
	// answered reports whether the last ask was answered.
	answered bool
	// joined reports whether any grantor was joined since the start.
	joined bool
}

// NewTouch returns the contact of an instance that starts at now. A grantor may still
// count its previous incarnation, so it waits before it is alone. It may join at once, as a
// grantor counts both incarnations as one instance.
func NewTouch(now time.Time) Touch {
	return Touch{
		until: now.Add(Hold + holdMargin),
	}
}

// Alone reports whether the instance uses its part of the rates itself.
func (t Touch) Alone(now time.Time) bool { return !now.Before(t.until) }

// Since returns since when the instance has been alone, or will be without an answer.
func (t Touch) Since() time.Time { return t.until }

// Grantor returns the instance that was joined; empty if there is none.
func (t Touch) Grantor() string {
	if t.session == "" {
		return ""
	}
	return t.grantor
}

// Renews reports whether the next ask, at now, may renew the contact. One that follows an
// ask without an answer may not, or else the instance would never be known to be alone.
func (t Touch) Renews(to string, now time.Time) bool {
	return t.session != "" && t.answered && t.grantor == to && !t.Alone(now)
}

// WithSent returns the contact after an ask was sent at now, which renews the contact or
// not.
func (t Touch) WithSent(renewing bool, now time.Time) Touch {
	if renewing {
		t.until = now.Add(Hold + holdMargin)
	}
	t.answered = false
	return t
}

// WithAnswer returns the contact after an answer came at now. An instance that was alone
// joins the grantor, and the next ask renews the contact. One that another grantor, or an
// earlier session, may count can join only once it is alone.
func (t Touch) WithAnswer(from, session string, now time.Time) Touch {
	t.answered = true
	switch {
	case t.Alone(now) || !t.joined:
		return Touch{
			grantor:  from,
			session:  session,
			until:    now.Add(Hold + holdMargin),
			answered: true,
			joined:   true,
		}
	case t.grantor == from && t.session != session:
		t.session = ""
	}
	return t
}
