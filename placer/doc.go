// Package placer runs the placer of a data centre on the entry host that the
// core chose: it takes jobs from the entry hosts and reports from backend
// servers, and carries out the orders of package runs. On every other entry host
// it only keeps the table of backend servers, to begin with when it is chosen.
package placer
