// Package trace extracts the timeline of one job from the logs of several hosts and finds the line
// that explains the job's outcome.
package trace
