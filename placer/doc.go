// Package placer runs the placer of a data centre on the entry host that the
// core chose. It receives jobs from entry hosts and reports from backend servers,
// and executes the orders of package runs. On every other entry host it only keeps
// a copy of the table of backend servers, as the initial table for the case that
// its host is chosen.
package placer
