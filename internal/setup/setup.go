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

// Settings is the configuration that an instance reads when it starts.
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
	// Secret is the source of the secret that all instances share.
	Secret Source `toml:"secret"`
	// Gap is the idle timeout of an engine within a stream.
	Gap Duration `toml:"gap"`
	// First is the timeout for the first chunk of a response.
	First Duration `toml:"first"`
	// Distance is the additional latency of another failure domain.
	Distance Duration `toml:"distance"`
	// Linger is how long an instance that is stopping still accepts calls, until the
	// load balancer has noticed that it is not ready.
	Linger Duration `toml:"linger"`
	// Memory is the memory of the instance's machine in MB; 0 for no bound.
	Memory int `toml:"memory"`
	// Level is the lowest level that is logged.
	Level string `toml:"level"`
	// Callers are the API keys.
	Callers []Caller `toml:"caller"`
}

// Source is the place that a secret is read from.
type Source struct {
	// File is a path and Env the name of an environment variable. Settings
	// must set exactly one.
	File string `toml:"file"`
	Env  string `toml:"env"`
	// literal is the secret of the demo, which needs no protection.
	literal string
}

// LiteralSecret returns a source that yields secret itself. It is for the demo,
// whose secret is a constant.
func LiteralSecret(secret string) Source {
	return Source{
		literal: secret,
	}
}

// Caller is one API key.
type Caller struct {
	// Hash is the SHA-256 of the key in hexadecimal digits.
	Hash string `toml:"hash"`
	// Team is the team of the caller.
	Team string `toml:"team"`
	// Labels are added to all calls of the caller.
	Labels map[string]string `toml:"labels"`
}

// Duration is a time.Duration that is written as text, such as "900ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write one such as \"900ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults returns the settings that apply to keys that a file omits.
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

// keys returns all valid keys of settings.
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

// check returns the problems of the values. Lines are those of text.
func (s Settings) check(text string) []policy.Problem {
	var out []policy.Problem
	require := func(ok bool, key, remedy string) {
		if !ok {
			out = append(out, policy.Problem{
				Line:   lineOfKey(text, key),
				Remedy: key + ": " + remedy,
			})
		}
	}
	require(s.Name != "", "name", "give the instance's name in the platform's list")
	require(s.Domain != "", "domain", "give the instance's failure domain")
	_, err := netip.ParseAddrPort(s.Listen)
	require(err == nil, "listen", "write an IP address and port such as 127.0.0.1:8080")
	for key, v := range map[string]string{
		"table":  s.Table,
		"object": s.Object,
		"list":   s.List,
	} {
		require(strings.HasPrefix(v, "http://"), key, "write a URL that starts with http://")
	}
	for key, v := range map[string]Duration{
		"gap":   s.Gap,
		"first": s.First,
	} {
		require(v >= Duration(100*time.Millisecond), key, "write at least 100ms")
	}
	require(s.Memory == 0 || s.Memory >= minMemory, "memory", "write the machine's memory in MB, at least 64, or leave it out")
	require(s.Distance >= 0 && s.Linger >= 0, "linger", "write a duration that is not negative")
	require((s.Secret.File == "") != (s.Secret.Env == ""), "secret", "name either a file or an environment variable")
	_, known := levels[s.Level]
	require(known, "level", "write debug, info, warn or error")
	for _, c := range s.Callers {
		raw, err := hex.DecodeString(c.Hash)
		require(err == nil && len(raw) == 32, "hash", "write the SHA-256 of the key as 64 hexadecimal digits")
		require(c.Team != "", "team", "give the caller's team")
	}
	return out
}

var levels = map[string]bool{
	"debug": true,
	"info":  true,
	"warn":  true,
	"error": true,
}

// lineOfKey returns the number of the first line that sets key or opens its table,
// or 0.
func lineOfKey(text, key string) int {
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		name, _, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == key || line == "["+key+"]" {
			return i + 1
		}
	}
	return 0
}

// minMemory is the least memory of a machine in MB.
const minMemory = 64

// minSecretBytes is the least length of a secret.
const minSecretBytes = 16

// Read returns the secret, or an error if it is shorter than minSecretBytes.
func (s Source) Read() ([]byte, error) {
	value := s.literal + os.Getenv(s.Env)
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, fmt.Errorf("the secret can't be read (%w): create the file or name another", err)
		}
		value = strings.TrimSpace(string(data))
	}
	if len(value) < minSecretBytes {
		return nil, fmt.Errorf("the secret has %d bytes: give at least %d by file or environment", len(value), minSecretBytes)
	}
	return []byte(value), nil
}
