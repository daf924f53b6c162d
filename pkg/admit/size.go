package admit

// Size is the size of a service's engines and of the fleet of instances that share them.
type Size struct {
	// Engines is the number of engines that take calls.
	Engines int
	// Slots is how many requests an engine runs concurrently; 0 if it is not known.
	Slots int
	// Memory is how many tokens an engine holds.
	Memory int
	// Instances is the number of instances, this one included.
	Instances int
}

const (
	// patientShare is the share of the engines that work which can wait may always
	// have.
	patientShare = 0.35
	// Evenness is how much more than an equal part an instance may use at once, as
	// callers are not spread evenly over the instances.
	Evenness = 1.3
)

// Total returns the memory of all engines in tokens.
func (s Size) Total() float64 { return float64(s.Engines * s.Memory) }

// Slot returns the tokens of memory that belong to one slot, or 0 if that is not known.
func (s Size) Slot() float64 {
	if s.Slots == 0 {
		return 0
	}
	return float64(s.Memory) / float64(s.Slots)
}

// Equal returns this instance's equal part of the engines' memory, in tokens.
func (s Size) Equal() float64 { return s.Total() / float64(max(s.Instances, 1)) }

// Need returns the memory, in tokens, that work with the given prompt and output takes.
// Memory grows while the output is made. Small work counts as a slot, so that it does not
// take all slots.
func (s Size) Need(prompt, output int) float64 {
	return max(float64(prompt)+meanOutputShare*float64(output)+1, s.Slot())
}

// meanOutputShare is the mean memory of an output as a share of its full length.
const meanOutputShare = 0.5

// Least returns the tokens of patient work that this instance may always have at the
// engines: as much as leaves room for urgent work and for cached prefixes.
func (s Size) Least() float64 { return patientShare * Evenness * s.Equal() }

// Most returns the tokens of patient work that this instance may have at the engines if
// they keep up, while its urgent work has the given tokens there. One instance may have
// nearly all callers, so that an equal part bounds nothing; what urgent work takes is left
// to it.
func (s Size) Most(urgent float64) float64 {
	return max(s.Total()-urgent*float64(max(s.Instances, 1)), s.Least())
}

const (
	// openPart is the part of an equal part of the engines' memory that the prompts of
	// urgent requests without a first byte may always have, and minOpen the least number
	// of such requests.
	openPart = 0.27
	minOpen  = 2
)

// Open returns how many urgent requests with the given prompt tokens and without a first
// byte this instance may always have, so that engines which were slow for a moment are not
// left idle. Short prompts hardly wait for each other.
func (s Size) Open(prompt int) float64 {
	return max(openPart*s.Equal()/float64(max(prompt, 1)), minOpen)
}
