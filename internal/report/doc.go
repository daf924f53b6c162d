// Package report renders results of package bench as tables and plots.
//
//	report.PrintTable(os.Stdout, rows)
package report
