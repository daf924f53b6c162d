package setup

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Settings is what an instance is told when it starts.
type Settings struct {
	// Name is the instance's name in the platform's list.
	Name string `toml:"name"`
	// Domain is the instance's failure domain.
	Domain string `toml:"domain"`
	// Listen is the IP address and port to serve on.
	Listen string `toml:"listen"`
	// Table, Object and List are the URLs of the platform's services.
	Table  string `toml:"table"`
	Object string `toml:"object"`
	List   string `toml:"list"`
	// Secret names where the secret that all instances share comes from.
	Secret Source `toml:"secret"`
	// Gap is how long an engine may be silent within a stream.
	Gap Duration `toml:"gap"`
	// First is how long the first chunk of an answer may take.
	First Duration `toml:"first"`
	// Distance is the added time to reach another failure domain.
	Distance Duration `toml:"distance"`
	// Linger is how long a stopping instance still takes calls, until the
	// balancer has seen that it is not ready.
	Linger Duration `toml:"linger"`
	// Level is the least level that is logged.
	Level string `toml:"level"`
	// Callers are the API keys.
	Callers []Caller `toml:"caller"`
}

// Source names where a secret comes from.
type Source struct {
	// File is a path, and Env an environment variable; one of the two.
	File string `toml:"file"`
	Env  string `toml:"env"`
	// fixed is the secret of a demonstration, which is none.
	fixed string
}

// Fixed returns a source of a secret that the program knows.
func Fixed(secret string) Source {
	return Source{
		fixed: secret,
	}
}

// Caller is one API key.
type Caller struct {
	// Hash is the SHA-256 of the key in hexadecimal digits.
	Hash string `toml:"hash"`
	// Team is the team of the caller.
	Team string `toml:"team"`
	// Labels are attached to all its calls.
	Labels map[string]string `toml:"labels"`
}

// Duration is a time.Duration as text.
type Duration time.Duration

// UnmarshalText reads a duration such as "900ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write one such as \"900ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults returns the settings where a file says nothing.
func Defaults() Settings {
	return Settings{
		Listen:   "127.0.0.1:8080",
		Gap:      Duration(2 * time.Second),
		First:    Duration(20 * time.Second),
		Distance: Duration(1500 * time.Microsecond),
		Linger:   Duration(2 * time.Second),
		Level:    "info",
	}
}

// Parse reads settings and returns all problems at once.
func Parse(text string) (Settings, []policy.Problem) {
	s := Defaults()
	dec := toml.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, policy.DecodeProblems(err, keys())
	}
	return s, s.check(text)
}

// keys returns all keys that settings may have.
func keys() []string {
	var out []string
	for _, v := range []any{Settings{}, Source{}, Caller{}} {
		t := reflect.TypeOf(v)
		for i := range t.NumField() {
			if key := t.Field(i).Tag.Get("toml"); key != "" {
				out = append(out, key)
			}
		}
	}
	return out
}

// check returns what is wrong with the values.
func (s Settings) check(text string) []policy.Problem {
	var out []policy.Problem
	add := func(ok bool, key, remedy string) {
		if !ok {
			out = append(out, policy.Problem{
				Line:   lineOf(text, key),
				Remedy: key + ": " + remedy,
			})
		}
	}
	add(s.Name != "", "name", "give the instance's name in the platform's list")
	add(s.Domain != "", "domain", "give the instance's failure domain")
	_, err := netip.ParseAddrPort(s.Listen)
	add(err == nil, "listen", "write an IP address and port such as 127.0.0.1:8080")
	for key, v := range map[string]string{
		"table":  s.Table,
		"object": s.Object,
		"list":   s.List,
	} {
		add(strings.HasPrefix(v, "http://"), key, "write a URL that starts with http://")
	}
	for key, v := range map[string]Duration{
		"gap":   s.Gap,
		"first": s.First,
	} {
		add(v >= Duration(100*time.Millisecond), key, "write at least 100ms")
	}
	add(s.Distance >= 0 && s.Linger >= 0, "linger", "write a duration that is not negative")
	add((s.Secret.File == "") != (s.Secret.Env == ""), "secret", "name either a file or an environment variable")
	_, known := levels[s.Level]
	add(known, "level", "write debug, info, warn or error")
	for _, c := range s.Callers {
		raw, err := hex.DecodeString(c.Hash)
		add(err == nil && len(raw) == 32, "hash", "write the SHA-256 of the key as 64 hexadecimal digits")
		add(c.Team != "", "team", "give the caller's team")
	}
	return out
}

var levels = map[string]bool{
	"debug": true,
	"info":  true,
	"warn":  true,
	"error": true,
}

func lineOf(text, key string) int {
	for i, line := range strings.Split(text, "\n") {
		word := strings.TrimSpace(line)
		name, _, ok := strings.Cut(word, "=")
		if ok && strings.TrimSpace(name) == key || word == "["+key+"]" {
			return i + 1
		}
	}
	return 0
}

// leastSecret is the shortest secret, in bytes.
const leastSecret = 16

// Read returns the secret.
func (s Source) Read() ([]byte, error) {
	value := s.fixed + os.Getenv(s.Env)
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, fmt.Errorf("the secret can't be read (%w): create the file or name another", err)
		}
		value = strings.TrimSpace(string(data))
	}
	if len(value) < leastSecret {
		return nil, fmt.Errorf("the secret has %d bytes: give at least %d by file or environment", len(value), leastSecret)
	}
	return []byte(value), nil
}
