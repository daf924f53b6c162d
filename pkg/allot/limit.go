package allot

// Unit is what an allotment is counted in.
type Unit uint8

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the tokens of a request's prompt and its longest possible output.
	Tokens
)

// String returns the name of the unit in logs and settings.
func (u Unit) String() string { return [...]string{"requests", "tokens"}[u%2] }

// Limit is the allotment of a team over all instances. The zero value is no limit.
type Limit struct {
	// Rate is the allotment in units a second; 0 means no limit.
	Rate float64 `json:"Rate"`
	// Burst is the most that can be saved up, in units.
	Burst float64 `json:"Burst"`
	// Unit is what Rate and Burst are counted in.
	Unit Unit `json:"Unit"`
	// Plain is what a request without a token count counts as, in tokens.
	Plain float64 `json:"Plain"`
}

// Limited reports whether l limits anything.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns what a request counts as, whose prompt and longest output have the given
// number of tokens together. Without a token count it counts as a plain request.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return l.Plain
}
