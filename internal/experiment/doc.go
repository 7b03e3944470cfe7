// Package experiment compares the limits with simpler ones, in virtual time.
//
// # Usage
//
//	for _, result := range experiment.CompareLimits(experiment.DefaultLimitRun()) {
//		fmt.Println(result)
//	}
package experiment
