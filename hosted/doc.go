// Package hosted assembles the services of a host that finds the others through the core: an entry
// host or a host of the core. The caller of New provides the addresses, the calls to backend servers
// and the handlers of the listeners.
package hosted
