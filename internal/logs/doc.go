// Package logs writes one line of key=value pairs for each event.
//
//	log := logs.New(os.Stderr, "info")
//	log.Info().Str("event", "route").Str("endpoint", "e7").Send()
package logs
