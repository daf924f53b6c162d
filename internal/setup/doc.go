// Package setup reads the settings of a process from TOML.
//
// Every key is checked. An unknown key is rejected, with the nearest known key as
// a suggestion, and all problems are reported at once, each with its line and
// remedy. Settings refer to secrets by file or environment variable and never
// contain them.
//
//	s, problems := setup.Parse(text)
package setup
