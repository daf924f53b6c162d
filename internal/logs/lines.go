package logs

import (
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// Alarm logs that an alarm was raised or cleared.
func Alarm(log zerolog.Logger, a alarm.Alarm) {
	state := "cleared"
	if a.Active() {
		state = "raised"
	}
	log.Error().Str("event", "alarm").Str("promise", a.Objective).Str("state", state).
		Float64("missed", a.MissRatio).Float64("allowed", a.Allowed).
		Float64("forecast", a.Forecast).Send()
}

// Note logs an event with the alternating keys and values of pairs. Pairs with an
// empty value are omitted.
func Note(log zerolog.Logger, event string, pairs []string) {
	line := log.Info().Str("event", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			line = line.Str(pairs[i], pairs[i+1])
		}
	}
	line.Send()
}
