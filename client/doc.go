// Package client calls the HTTP APIs for callers and operators. It tries the entry hosts in turn and
// retries a request only if the retry can't run a task or apply an edit twice.
package client
