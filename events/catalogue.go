package events

import "github.com/rs/zerolog"

// The events common to all daemons. Codes of removed events are never reused.
var (
	Started = Event{
		Code: 100, Name: "Started", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Listen", "Version"},
		Meaning: "The daemon runs and takes requests.",
		Action:  "None.",
	}
	Stopping = Event{
		Code: 101, Name: "Stopping", Level: zerolog.InfoLevel, Fields: []string{"Signal"},
		Meaning: "A graceful shutdown has begun: new requests are refused and those in flight are finished.",
		Action:  "None.",
	}
	Stopped = Event{
		Code: 102, Name: "Stopped", Level: zerolog.InfoLevel,
		Meaning: "The daemon has ended its work.",
		Action:  "None.",
	}
	ServicePanicked = Event{
		Code: 103, Name: "ServicePanicked", Level: zerolog.ErrorLevel, Fields: []string{"Service", "Error", "Stack"},
		Meaning: "A service met a fault in the program. It was restarted, or the daemon ends.",
		Action:  "Report the line with its stack. Restart the daemon if it ended.",
	}
	Failed = Event{
		Code: 104, Name: "Failed", Level: zerolog.ErrorLevel, Fields: []string{"Error"},
		Meaning: "The daemon can't go on and ends.",
		Action:  "Read the error, mend its cause and start the daemon again.",
	}
	DiskLost = Event{
		Code: 105, Name: "DiskLost", Level: zerolog.WarnLevel, Fields: []string{"Folder"},
		Meaning: "The data folder lost its state. The host recovers it from the other hosts of the lists group.",
		Action:  "Find out why the files are gone; until the host has recovered, keep the others running.",
	}
	ClientsClosed = Event{
		Code: 106, Name: "ClientsClosed", Level: zerolog.WarnLevel, Fields: []string{"Listener", "Reason", "Count", "Connections", "Bytes"},
		Meaning: "A listener closed connections of clients, or refused their bodies, to stay within its limits. Nothing of these requests was run, except that with the reason Unread the response was not read. Connections are open, and bodies of Bytes being read, at the moment of the line.",
		Action:  "None, unless the clients are known: then see the limits of bodies and connections.",
	}
	PeerUnreachable = Event{
		Code: 200, Name: "PeerUnreachable", Level: zerolog.WarnLevel, Fields: []string{"Peer", "Error"},
		Meaning: "Messages to another host can't be delivered.",
		Action:  "Check the other host and the network between the two.",
	}
	PeerReachable = Event{
		Code: 201, Name: "PeerReachable", Level: zerolog.InfoLevel, Fields: []string{"Peer"},
		Meaning: "Messages to another host are delivered again.",
		Action:  "None.",
	}
	PeerDiscarded = Event{
		Code: 202, Name: "PeerDiscarded", Level: zerolog.WarnLevel, Fields: []string{"Peer", "Messages"},
		Meaning: "Messages for a host that stayed unreachable were given up. Its lease has ended by then.",
		Action:  "Check the other host and the network between the two.",
	}
	PeerMoved = Event{
		Code: 203, Name: "PeerMoved", Level: zerolog.InfoLevel, Fields: []string{"Peer", "Address"},
		Meaning: "Another host that couldn't be reached is found at a new address, which it gave itself.",
		Action:  "Put the address into the settings of this host.",
	}
	PeerMessageInvalid = Event{
		Code: 204, Name: "PeerMessageInvalid", Level: zerolog.ErrorLevel, Fields: []string{"Peer", "Service", "Error"},
		Meaning: "A message to a service of another host can't be encoded and was dropped, so that those behind it are delivered.",
		Action:  "Report the line: what comes from outside should have been checked before.",
	}
	PeerUntracked = Event{
		Code: 205, Name: "PeerUntracked", Level: zerolog.WarnLevel, Fields: []string{"Peer", "Reason", "Hosts"},
		Meaning: "A batch of messages of another host wasn't accepted, as its name isn't valid (Name) or as more hosts send messages than are tracked (Hosts).",
		Action:  "Look for what else sends to the port for other hosts.",
	}
	PeerMessageRefused = Event{
		Code: 206, Name: "PeerMessageRefused", Level: zerolog.WarnLevel, Fields: []string{"Service", "Error"},
		Meaning: "A message of another host holds a name that is longer than any may be. It wasn't passed on; those behind it were.",
		Action:  "Look for what else sends to the port for other hosts.",
	}
	PrimaryChanged = Event{
		Code: 300, Name: "PrimaryChanged", Level: zerolog.InfoLevel, Fields: []string{"Primary", "View"},
		Meaning: "Another host leads the data centre's group.",
		Action:  "None, unless it repeats: then check the hosts of the data centre.",
	}
	LeaseLost = Event{
		Code: 301, Name: "LeaseLost", Level: zerolog.WarnLevel, Fields: []string{"View"},
		Meaning: "This host heard from no primary for the length of its lease and starts no task until it does.",
		Action:  "Check the hosts of the data centre and the network between them.",
	}
	HostExpelled = Event{
		Code: 302, Name: "HostExpelled", Level: zerolog.WarnLevel, Fields: []string{"Peer", "Jobs", "Fence"},
		Meaning: "The primary heard nothing from a host for longer than its lease. The jobs it ran have failed.",
		Action:  "Check that host. Callers see HostLost for those jobs.",
	}
	HostLeft = Event{
		Code: 303, Name: "HostLeft", Level: zerolog.InfoLevel, Fields: []string{"Peer"},
		Meaning: "A host was stopped as planned. It had ended its work before.",
		Action:  "None.",
	}
	ServingAlone = Event{
		Code: 304, Name: "ServingAlone", Level: zerolog.WarnLevel,
		Meaning: "This host has long heard from no primary and serves jobs without a key alone, within its own part of the data centre's share.",
		Action:  "Bring the other hosts of the data centre, or the network to them, back.",
	}
	ServingAloneEnded = Event{
		Code: 305, Name: "ServingAloneEnded", Level: zerolog.InfoLevel,
		Meaning: "A primary leads this host again, and the host serves no longer alone.",
		Action:  "None.",
	}
	BackendServerAnnounced = Event{
		Code: 400, Name: "BackendServerAnnounced", Level: zerolog.InfoLevel, Fields: []string{"BackendServer", "Address", "Slots"},
		Meaning: "A backend server is new, or came back after its lease had ended.",
		Action:  "None.",
	}
	BackendServerLapsed = Event{
		Code: 401, Name: "BackendServerLapsed", Level: zerolog.WarnLevel, Fields: []string{"BackendServer"},
		Meaning: "A backend server did not renew its announcement and gets no new work.",
		Action:  "Check the backend server.",
	}
	BackendServerLeft = Event{
		Code: 402, Name: "BackendServerLeft", Level: zerolog.InfoLevel, Fields: []string{"BackendServer"},
		Meaning: "A backend server left and gets no new work.",
		Action:  "None.",
	}
	BackendServerEjected = Event{
		Code: 403, Name: "BackendServerEjected", Level: zerolog.WarnLevel, Fields: []string{"BackendServer", "Reason"},
		Meaning: "A backend server does worse than its peers and gets only probes.",
		Action:  "Check the backend server; it is let back when its probes succeed.",
	}
	BackendServerRestored = Event{
		Code: 404, Name: "BackendServerRestored", Level: zerolog.InfoLevel, Fields: []string{"BackendServer"},
		Meaning: "A backend server that was ejected gets work again.",
		Action:  "None.",
	}
	ListsInForce = Event{
		Code: 500, Name: "ListsInForce", Level: zerolog.InfoLevel, Fields: []string{"ListsVersion", "Customers", "Plans"},
		Meaning: "A new version of the two lists is in force on this host.",
		Action:  "None.",
	}
	ListsEverywhere = Event{
		Code: 501, Name: "ListsEverywhere", Level: zerolog.InfoLevel, Fields: []string{"ListsVersion", "TookMs"},
		Meaning: "The version is in force on every host that this one can reach.",
		Action:  "None.",
	}
)

// Catalogue returns all events, ordered by code.
func Catalogue() []Event {
	return append([]Event{
		Started, Stopping, Stopped, ServicePanicked, Failed, DiskLost, ClientsClosed,
		PeerUnreachable, PeerReachable, PeerDiscarded, PeerMoved, PeerMessageInvalid, PeerUntracked, PeerMessageRefused,
		PrimaryChanged, LeaseLost, HostExpelled, HostLeft, ServingAlone, ServingAloneEnded,
		BackendServerAnnounced, BackendServerLapsed, BackendServerLeft,
		BackendServerEjected, BackendServerRestored,
		ListsInForce, ListsEverywhere,
	}, hostedEvents()...)
}
