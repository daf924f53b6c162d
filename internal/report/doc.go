// Package report prints what the bench measured as tables and plots.
//
//	report.PrintTable(os.Stdout, lines)
package report
