package oper

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// maxLineBytes bounds a line of a log; a file with a longer line is rejected.
	maxLineBytes = 1 << 20
	// notableSilence is the least silence of an endpoint that is reported as part of
	// the cause: twice the interval between events that routes allow.
	notableSilence = 500 * time.Millisecond
)

// trace is the command that prints all log lines of a request, merged from the
// logs of several instances, and the cause of its failure.
type trace struct {
	id    *string
	files *[]string
}

func addTrace(app *kingpin.Application, commands map[string]command) {
	c := app.Command("trace", "Print what the logs of instances say of a request, in order, and why it failed.")
	commands["trace"] = trace{
		id:    c.Arg("id", "The request's id.").Required().String(),
		files: c.Arg("files", "The logs of instances.").Required().Strings(),
	}
}

// entry is one parsed line of a log.
type entry struct {
	time   string
	text   string
	fields map[string]string
}

func (c trace) run(_ context.Context, out output) error {
	var entries []entry
	for _, name := range *c.files {
		found, err := c.read(name)
		if err != nil {
			return err
		}
		entries = append(entries, found...)
	}
	if len(entries) == 0 {
		return fmt.Errorf("no line of %d files names request %s: check the id, and the files of the other instances", len(*c.files), *c.id)
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.time, b.time) })
	for _, e := range entries {
		printRow(out.w, e.text)
	}
	printRow(out.w, "cause: "+describeCause(entries))
	return nil
}

// read returns the lines of a log that concern the request: its own, and the start
// of an instance whose previous process ended while the request was in flight.
func (c trace) read(name string) ([]entry, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%s can't be read (%w): name another file", name, err)
	}
	defer func() { _ = f.Close() }()
	var out []entry
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)
	// inFlight is set between the request's first and last line in this file. If the
	// instance starts again meanwhile, its process was killed.
	inFlight := false
	for s.Scan() {
		fields := parseLine(s.Text())
		matches := fields["request"] == *c.id
		restart := inFlight && fields["event"] == "start"
		if matches {
			inFlight = fields["event"] != "end" && fields["event"] != "refuse"
		}
		if restart {
			inFlight = false
		}
		if matches || restart {
			out = append(out, entry{
				time:   fields["time"],
				text:   strings.TrimSpace(s.Text()),
				fields: fields,
			})
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s can't be read to its end (%w): cut the file at a line", name, err)
	}
	return out, nil
}

// parseLine returns the key=value pairs of a line. Values that contain
// spaces are quoted.
func parseLine(line string) map[string]string {
	out := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " \t")
		word, rest, _ := strings.Cut(line, " ")
		key, value, ok := strings.Cut(word, "=")
		if ok && strings.HasPrefix(value, `"`) {
			text := line[len(key)+2:]
			end := quoteEnd(text)
			value = strings.ReplaceAll(text[:end], `\"`, `"`)
			rest = text[min(end+1, len(text)):]
		}
		if ok {
			out[key] = value
		}
		line = rest
	}
	return out
}

// quoteEnd returns the index of the first unescaped quote in text, or len(text).
func quoteEnd(text string) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// describeCause explains the outcome of a request from its entries, which are in
// order of time.
func describeCause(entries []entry) string {
	var attempts []string
	for _, e := range entries {
		f := e.fields
		switch f["event"] {
		case "refuse":
			return describeRefusal(f)
		case "fail":
			attempts = append(attempts, describeAttempt(f))
		}
	}
	last := entries[len(entries)-1].fields
	if last["event"] == "start" {
		return strings.TrimSuffix(fmt.Sprintf("the process of %s was killed, or its machine lost power, before the request ended (it started anew at %s); %s",
			last["name"], last["time"], strings.Join(attempts, "; ")), "; ")
	}
	if last["event"] != "end" {
		return "the request has not ended in these logs; " + strings.Join(attempts, "; ")
	}
	if isServerError(last["status"]) {
		return strings.TrimSuffix(fmt.Sprintf("%s itself answered with status %s after %s; %s", last["endpoint"], last["status"], last["took"], strings.Join(attempts, "; ")), "; ")
	}
	if last["reason"] == "" {
		return fmt.Sprintf("served by %s after %s, first byte after %s", last["endpoint"], last["took"], last["first"])
	}
	return strings.TrimSuffix(fmt.Sprintf("%s, run=%s: %s; %s", last["reason"], last["run"], last["detail"], strings.Join(attempts, "; ")), "; ")
}

// describeAttempt explains how an attempt failed.
func describeAttempt(f map[string]string) string {
	text := fmt.Sprintf("attempt %s at %s: %s (%s)", f["attempt"], f["endpoint"], f["cause"], f["detail"])
	if silence, err := time.ParseDuration(f["quiet"]); err == nil && silence >= notableSilence {
		text += ", silent for " + f["quiet"]
	}
	return text
}

// describeRefusal explains why a request was refused before an attempt was made.
func describeRefusal(f map[string]string) string {
	if f["reason"] == "allotment" {
		return fmt.Sprintf("refused before it was sent: team %s has used up its allotment of %s a second and has credit again after %s: not run", f["team"], f["rate"], f["wait"])
	}
	if f["wait"] != "" {
		return fmt.Sprintf("refused before it was sent (%s wait %s of team %s): not run", f["reason"], f["wait"], f["team"])
	}
	configuration := ""
	if f["site"] != "" {
		configuration = " under configuration " + f["site"]
	}
	return fmt.Sprintf("refused before it was sent (%s%s): %s: not run", f["reason"], configuration, f["detail"])
}

// isServerError reports whether status is an HTTP status of 500 or above.
func isServerError(status string) bool {
	n, err := strconv.Atoi(status)
	return err == nil && n >= http.StatusInternalServerError
}
