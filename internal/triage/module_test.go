package triage_test

import "strings"

const (
	// good and bad are tests that pass and fail.
	good = "func TestGood(t *testing.T) {}\n"
	bad  = "func TestBad(t *testing.T) { t.Error(\"bad\") }\n"
	// race is a race that is reported to whoever runs it.
	race = "func race() {\n\tn, done := 0, make(chan bool)\n\tgo func() { n++; close(done) }()\n\tn++\n\t<-done\n\t_ = n\n}\n"
	// limit sets the limit of the package's tests.
	limit = "func TestMain(m *testing.M) {\n\tflag.Parse()\n\t_ = flag.Set(\"test.timeout\", \"1s\")\n\tos.Exit(m.Run())\n}\n"
	// leak ends as goleak.VerifyTestMain does: it looks only after a pass.
	leak = "func TestMain(m *testing.M) {\n\tcode := m.Run()\n\tif code == 0 {\n\t\tprintln(\"found unexpected goroutines\")\n\t\tcode = 1\n\t}\n\tos.Exit(code)\n}\n"
)

// source is a test file of a package with that body, which imports what it names.
func source(body string) string {
	text := "package a\n\nimport \"testing\"\n"
	for _, name := range []string{"flag", "os", "time"} {
		if strings.Contains(body, name+".") {
			text += "import \"" + name + "\"\n"
		}
	}
	if strings.Contains(body, "// rapid") {
		text += "import _ \"pgregory.net/rapid\"\n"
	}
	return text + "\n" + body + "\n"
}

// entry lists a test, with more lines.
func entry(test string, more ...string) string {
	return "test: " + test + "\n" + strings.Join(more, "") + "command: go test ./a\nseen: it failed\nissue: 7\n\n"
}
