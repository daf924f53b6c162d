package triage_test

import "strings"

const (
	// good declares a test that passes and bad one that fails.
	good = "func TestGood(t *testing.T) {}\n"
	bad  = "func TestBad(t *testing.T) { t.Error(\"bad\") }\n"
	// race declares a function with a data race, which the race detector reports
	// in the test that calls it.
	race = "func race() {\n\tn, done := 0, make(chan bool)\n\tgo func() { n++; close(done) }()\n\tn++\n\t<-done\n\t_ = n\n}\n"
	// timeout sets the package's test timeout to a second.
	timeout = "func TestMain(m *testing.M) {\n\tflag.Parse()\n\t_ = flag.Set(\"test.timeout\", \"1s\")\n\tos.Exit(m.Run())\n}\n"
	// leak imitates goleak.VerifyTestMain: it fails for a leak only after all
	// tests have passed.
	leak = "func TestMain(m *testing.M) {\n\tcode := m.Run()\n\tif code == 0 {\n\t\tprintln(\"found unexpected goroutines\")\n\t\tcode = 1\n\t}\n\tos.Exit(code)\n}\n"
)

// source returns a test file with the given body and the imports that the body
// uses. The comment "// rapid" in the body imports rapid.
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

// entry returns a list entry for a test, with additional lines.
func entry(test string, more ...string) string {
	return "test: " + test + "\n" + strings.Join(more, "") + "command: go test ./a\nseen: it failed\nissue: 7\n\n"
}
