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
	// mostLine is the longest line of a log that is read, in bytes.
	mostLine = 1 << 20
	// longQuiet is how long an endpoint is silent where that is part of the cause:
	// twice the pause between events that routes allow.
	longQuiet = 500 * time.Millisecond
)

// trace prints the life of a request from the logs of several instances.
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

// entry is one line of a log.
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
		row(out.w, e.text)
	}
	row(out.w, "cause: "+causeOf(entries))
	return nil
}

func (c trace) read(name string) ([]entry, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%s can't be read (%w): name another file", name, err)
	}
	defer func() { _ = f.Close() }()
	var out []entry
	s := bufio.NewScanner(f)
	s.Buffer(nil, mostLine)
	// open tells that the request is under way in this file, whose instance ended
	// without a word if it starts anew.
	open := false
	for s.Scan() {
		fields := parseLine(s.Text())
		mine := fields["request"] == *c.id
		restart := open && fields["event"] == "start"
		if mine {
			open = fields["event"] != "end" && fields["event"] != "refuse"
		}
		if restart {
			open = false
		}
		if mine || restart {
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

// parseLine returns the pairs of a line. Values with spaces stand in quotes.
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

// quoteEnd returns where the quote that ends text is, or its length.
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

// causeOf returns why the request ended as it did.
func causeOf(entries []entry) string {
	var attempts []string
	for _, e := range entries {
		f := e.fields
		switch f["event"] {
		case "refuse":
			return refusalOf(f)
		case "fail":
			attempts = append(attempts, attemptOf(f))
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
	if failed(last["status"]) {
		return strings.TrimSuffix(fmt.Sprintf("%s itself answered with status %s after %s; %s", last["endpoint"], last["status"], last["took"], strings.Join(attempts, "; ")), "; ")
	}
	if last["reason"] == "" {
		return fmt.Sprintf("served by %s after %s, first byte after %s", last["endpoint"], last["took"], last["first"])
	}
	return strings.TrimSuffix(fmt.Sprintf("%s, run=%s: %s; %s", last["reason"], last["run"], last["detail"], strings.Join(attempts, "; ")), "; ")
}

// attemptOf returns how an attempt failed.
func attemptOf(f map[string]string) string {
	text := fmt.Sprintf("attempt %s at %s: %s (%s)", f["attempt"], f["endpoint"], f["cause"], f["detail"])
	if quiet, err := time.ParseDuration(f["quiet"]); err == nil && quiet >= longQuiet {
		text += ", silent for " + f["quiet"]
	}
	return text
}

// refusalOf returns why a request was refused before an endpoint was asked.
func refusalOf(f map[string]string) string {
	if f["wait"] != "" {
		return fmt.Sprintf("refused before it was sent (%s wait %s of team %s): not run", f["reason"], f["wait"], f["team"])
	}
	under := ""
	if f["site"] != "" {
		under = " under configuration " + f["site"]
	}
	return fmt.Sprintf("refused before it was sent (%s%s): %s: not run", f["reason"], under, f["detail"])
}

// failed tells whether an endpoint's status is that of its own failure.
func failed(status string) bool {
	n, err := strconv.Atoi(status)
	return err == nil && n >= http.StatusInternalServerError
}
