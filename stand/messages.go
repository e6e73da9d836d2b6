package stand

// The messages handled by the service of one stand-in server.

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

// endedMsg reports that the run time of a task has elapsed.
type endedMsg struct {
	Task string
}

// crashMsg makes the server call its crash hook and drop all connections immediately.
type crashMsg struct{}

// stopAnnouncingMsg stops the announcements; calls are still served.
type stopAnnouncingMsg struct{}

// leaveMsg starts a graceful stop.
type leaveMsg struct{}

// leaseReleasedMsg reports that the attempt to release the lease has ended, whether or not an
// entry host could be reached.
type leaseReleasedMsg struct{}

// announcedMsg reports that an announcement has ended.
type announcedMsg struct {
	Accepted bool // by an entry host
}

// abandonedMsg reports that the request for a task ended before the answer.
type abandonedMsg struct {
	Task string
}

// connectionMsg reports that a connection was opened (1) or closed (-1).
type connectionMsg struct {
	Delta int
}
