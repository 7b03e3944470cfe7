// Command bed runs the scripts of the third review: it starts entry nodes as processes, stands in for their platform,
// replicas and clients, and says whether a rule was broken.
//
// # Usage
//
//	review/bed-3/bin/bed CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 it does
// the same without the disruption. KEEP=1 keeps the logs of the nodes.
package main

import (
	"fmt"
	"os"
	"time"
)

// program is that of the deploy file's build.
const program = "target/mimosatide"

// cases are the scripts by their names.
var cases = map[string]func(fleet *fleet, trouble bool) (bool, error){
	"late-crash": func(fleet *fleet, trouble bool) (bool, error) {
		return runLateCrash(fleet, trouble, 400*time.Millisecond, false, 12*time.Second)
	},
	"options": runOptions,
	// early-crash is the same with a crash at the first event, for comparison.
	"early-crash": func(fleet *fleet, trouble bool) (bool, error) {
		return runLateCrash(fleet, trouble, 0, false, 12*time.Second)
	},
	"dark-crash": func(fleet *fleet, trouble bool) (bool, error) {
		return runLateCrash(fleet, trouble, 0, true, 4*time.Second)
	},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		return 2
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fleet, err := newFleet(log, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer fleet.stop()
	broken, err := cases[os.Args[1]](fleet, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	default:
		fmt.Println("the rule held")
		return 0
	}
}
