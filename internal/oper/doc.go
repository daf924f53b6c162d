// Package oper implements the command line: it runs instances and sends the
// operators' requests to running ones.
//
//	os.Exit(oper.Main(os.Args[1:], os.Stdout, os.Stderr))
package oper
