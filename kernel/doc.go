// Package kernel runs services that find each other by name.
//
// A service is one task: a goroutine that owns its state and its sockets and
// handles one message at a time from a bounded mailbox. Services share no
// memory. They exchange messages, which are plain structs, through a Ref that
// they look up by the name of the other service.
//
// A mailbox has a queue for requests and one for replies. Requests are bounded:
// Offer fails when the queue is full and Wait blocks until there is space, so
// every sender chooses between failing and waiting, and nothing is dropped
// silently. Replies are always accepted, because their number is bounded by the
// outstanding requests of the receiver.
package kernel
