package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	heldRule    = 0
	brokenRule  = 1
	couldNotRun = 2
)

// cases are the cases by name. Each returns an exit code; without trouble the rule has to hold.
var cases = map[string]func(bed *bed, trouble bool) int{
	"epochs":   epochs,
	"smuggled": smuggled,
	"vacant":   vacant,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed-2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	bed := newBed(os.Args[2])
	code := cases[os.Args[1]](bed, os.Getenv("TROUBLE") != "0")
	bed.note("exit code %d", code)
	bed.end()
	os.Exit(code)
}
