// Package hosted assembles the services of a host that finds the others through
// the core: an entry host or a host of the core. Whoever runs it gives the
// addresses, the calls to backend servers and the handlers of its listeners.
package hosted
