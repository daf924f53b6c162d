// Command baobabtally runs an instance and is the command line for its operators.
package main

import (
	"os"

	"github.com/baobabtally/baobabtally/internal/oper"
)

func main() { os.Exit(oper.Main(os.Args[1:], os.Stdout, os.Stderr)) }
