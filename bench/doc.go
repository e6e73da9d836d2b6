// Package bench replays recordings of callers' requests against entry hosts. It measures the
// answers to the callers, the calls to the backend servers and the resources that the hosts use.
// It also contains a naive reference dispatcher: the same recording replayed against it gives the
// baseline.
package bench
