package stand

// The messages that the service of one stand-in handles.

type callMsg struct {
	Call  Call
	Reply func(Result)
}

type revokeMsg struct {
	Task  string
	Reply func(Status)
}

type countsMsg struct {
	Reply func(Counts)
}

type addressMsg struct {
	Reply func(string)
}

// endedMsg tells that the run time of a task has passed.
type endedMsg struct {
	Task string
}

// dieMsg ends the process or closes the sockets of the stand-in at once.
type crashMsg struct{}

// silenceMsg ends the announcements and nothing else.
type stopAnnouncingMsg struct{}

// leaveMsg begins a graceful stop.
type leaveMsg struct{}

// leftMsg tells that the lease has been given up, as far as an entry host could
// be reached.
type leaseReleasedMsg struct{}

// announcedMsg tells that a round of announcing has ended.
type announcedMsg struct {
	Accepted bool // an entry host took the announcement
}

// abandonedMsg tells that the caller of a task has gone.
type abandonedMsg struct {
	Task string
}

// connectionMsg tells that a connection was opened (1) or closed (-1).
type connectionMsg struct {
	Delta int
}
