// Package place decides which waiting task starts on which backend server.
//
// One Placer serves one data centre and tracks the use of slots, memory,
// accelerators and quotas exactly. It is a pure state machine with a single
// owner: the owner passes in requests and reports together with the current
// time, and drains the resulting grants, refusals and events.
//
// Customers share the slots of a service by start-time fair queueing over slot
// time. Within a customer, the job with the earliest deadline goes first, then
// the job with the fewest remaining tasks. Run times are learned for each
// customer and service, and speeds for each backend server. Servers that fail
// or hang more often than their peers are ejected, and restored by probes.
package place
