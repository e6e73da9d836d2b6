// Package soak runs the daemons as separate processes on loopback addresses and
// injects faults from outside: signals that stop, pause, kill and restart them,
// relays that delay, silence and reset their connections, lost data folders and
// changed configurations, in series that overlap. It judges by what the stand-in
// workers, clients and operator see, and ends only processes that it started.
package soak
