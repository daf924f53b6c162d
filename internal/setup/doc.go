// Package setup reads the settings of a process from TOML.
//
// Every key is checked. Unknown keys are refused with the nearest known one,
// and all problems are told at once, each with its line and remedy. Secrets
// are named by file or environment variable and never stand in the settings.
//
//	s, problems := setup.Parse(text)
package setup
