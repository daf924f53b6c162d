package logs

import (
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/alarm"
)

// Alarm writes the line of an alarm that was raised or cleared.
func Alarm(log zerolog.Logger, a alarm.Alarm) {
	what := "cleared"
	if a.Active() {
		what = "raised"
	}
	log.Error().Str("event", "alarm").Str("promise", a.Objective).Str("state", what).
		Float64("missed", a.MissRatio).Float64("allowed", a.Allowed).
		Float64("forecast", a.Forecast).Send()
}

// Note writes the line of an event with further keys and values in turn. Empty
// values are left out.
func Note(log zerolog.Logger, event string, pairs []string) {
	line := log.Info().Str("event", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			line = line.Str(pairs[i], pairs[i+1])
		}
	}
	line.Send()
}
