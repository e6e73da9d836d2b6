// Package trace reads the logs of many hosts and puts the lines that tell of one
// job in order. It names the line that decided how the job ended.
package trace
