// Package lists holds the two lists that operators edit: the plans and the
// customers subscribed to them. Registry is the deterministic state machine that
// a replicated log drives; Active is the version that one host enforces.
//
// Both lists share one version counter, and each list records the version in
// which it last changed. An edit names the version that it is based on and
// carries an id, so that a resend gets the result of the first attempt.
package lists
