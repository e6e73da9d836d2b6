// Package soak runs the daemons as separate processes on loopback addresses and injects overlapping
// faults, drawn by seed: processes that are stopped, paused, killed and restarted, relays that delay, hold
// back and reset connections, lost data folders, failing and torn writes, and configuration changes. It
// checks what the simulated backend servers, clients and operator observe, and stops only processes that
// it started.
package soak
