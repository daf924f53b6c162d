// Package oper is the command line: serve, and what operators ask of a
// running instance.
//
//	os.Exit(oper.Main(os.Args[1:], os.Stdout, os.Stderr))
package oper
