package logs

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// timeFormat is how times are written.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// setFormat guards the library's own setting, which all loggers share.
var setFormat sync.Once

// New returns a logger that writes lines of key=value pairs to w, from the
// named level on. An unknown level counts as info.
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
	setFormat.Do(func() { zerolog.TimeFieldFormat = timeFormat })
	return zerolog.New(zerolog.SyncWriter(out)).Level(l).With().Timestamp().Logger()
}
