// Package experiment compares the account limits with simpler limiters in virtual
// time, measures what each role in a fleet costs a node, and has a simple router
// as the baseline for comparisons on real processes.
//
// # Usage
//
//	for _, run := range experiment.DefaultLimitRuns() {
//		for _, result := range experiment.CompareLimits(run) {
//			fmt.Println(result)
//		}
//	}
package experiment
