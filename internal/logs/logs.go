package logs

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// setTimeFormat guards zerolog.TimeFieldFormat, a global that all loggers share.
var setTimeFormat sync.Once

// New returns a logger that writes lines of key=value pairs to w. It drops lines
// below the named level; an unknown level is taken as info.
func New(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	out := zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: timeFormat,
		FieldsOrder: []string{
			"event", "request", "team", "policy", "rank", "endpoint", "reason",
		},
		FormatLevel: func(v any) string {
			s, _ := v.(string)
			return "level=" + s
		},
		FormatTimestamp: func(v any) string {
			s, _ := v.(string)
			return "time=" + s
		},
		FormatMessage: func(any) string { return "" },
		PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
	}
	setTimeFormat.Do(func() { zerolog.TimeFieldFormat = timeFormat })
	return zerolog.New(zerolog.SyncWriter(out)).Level(l).With().Timestamp().Logger()
}
