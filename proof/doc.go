// Package proof tests the whole system as real processes on loopback addresses: entry hosts of three
// data centres, stand-in backend servers, callers, and relays that partition the network between the
// hosts. Its tests inject faults and count the starts of every task at the stand-ins.
package proof
