// Command baobabtally runs an entry instance and is its operators' command line.
package main

import (
	"os"

	"github.com/baobabtally/baobabtally/internal/oper"
)

func main() { os.Exit(oper.Main(os.Args[1:], os.Stdout, os.Stderr)) }
