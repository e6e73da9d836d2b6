package events

import "github.com/rs/zerolog"

// The events of hosts that discover each other through the core.
var (
	CoreLeading = Event{
		Code: 600, Name: "CoreLeading", Level: zerolog.InfoLevel, Fields: []string{"Leading", "View"},
		Meaning: "This host of the core leads its group, or leads it no more.",
		Action:  "None, unless it repeats: then check the hosts of the core.",
	}
	CoreJoined = Event{
		Code: 601, Name: "CoreJoined", Level: zerolog.InfoLevel, Fields: []string{"Members"},
		Meaning: "This host takes part in the core's group, as a founder, from its disk or as a host that recovers.",
		Action:  "None.",
	}
	RoutesCommitted = Event{
		Code: 602, Name: "RoutesCommitted", Level: zerolog.InfoLevel, Fields: []string{"Version"},
		Meaning: "The core has committed a version of the routes.",
		Action:  "None.",
	}
	RoutesRefused = Event{
		Code: 603, Name: "RoutesRefused", Level: zerolog.WarnLevel, Fields: []string{"Error"},
		Meaning: "An operator put routes that can't be read, aren't valid, or are larger than a host can take. What is in force stays.",
		Action:  "Mend the field that the error names, or make the routes smaller, and put them again.",
	}
	PlacementCommitted = Event{
		Code: 604, Name: "PlacementCommitted", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Shard", "Placer", "Epoch"},
		Meaning: "The core has given the placing of a data centre, or of one shard of it, to a host.",
		Action:  "None, unless it repeats: then check the hosts that placed before.",
	}
	DiskFailed = Event{
		Code: 605, Name: "DiskFailed", Level: zerolog.ErrorLevel, Fields: []string{"Error"},
		Meaning: "The data folder can't be written, and not for lack of room. This host of the core ends, since it can't keep what it would promise.",
		Action:  "Mend or replace the disk.",
	}
	DiskFull = Event{
		Code: 606, Name: "DiskFull", Level: zerolog.WarnLevel, Fields: []string{"Error"},
		Meaning: "The disk of this host of the core takes no more. The host acknowledges nothing and decides nothing until it does, and tries twice a second.",
		Action:  "Make room on the disk that the error names. The host goes on by itself.",
	}
	DiskHasRoom = Event{
		Code: 607, Name: "DiskHasRoom", Level: zerolog.InfoLevel, Fields: []string{"TookMs"},
		Meaning: "The disk of this host of the core has room again after TookMs, and the host takes part again.",
		Action:  "None, unless it repeats: then give the disk more room.",
	}
	EvacuationCommitted = Event{
		Code: 608, Name: "EvacuationCommitted", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Evacuated", "Version"},
		Meaning: "The core has committed an order to evacuate a data centre, or, with Evacuated false, to revert that.",
		Action:  "None.",
	}
	EvacuationRefused = Event{
		Code: 609, Name: "EvacuationRefused", Level: zerolog.WarnLevel, Fields: []string{"DataCentre", "Evacuated", "Error"},
		Meaning: "An operator's order to evacuate a data centre, or to revert that, was refused. What is in force stays.",
		Action:  "Check the name of the data centre; revert orders that are no longer needed.",
	}
	RoutesInForce = Event{
		Code: 610, Name: "RoutesInForce", Level: zerolog.InfoLevel, Fields: []string{"Version"},
		Meaning: "A version of the routes is in force on this entry host.",
		Action:  "None.",
	}
	RoutesUnreadable = Event{
		Code: 611, Name: "RoutesUnreadable", Level: zerolog.ErrorLevel, Fields: []string{"Version", "Error"},
		Meaning: "Committed routes can't be read by this entry host. The version before stays in force.",
		Action:  "Check that all hosts run the same build.",
	}
	CoreReached = Event{
		Code: 612, Name: "CoreReached", Level: zerolog.InfoLevel, Fields: []string{"Leader"},
		Meaning: "The core's leader answers this entry host.",
		Action:  "None.",
	}
	CoreUnreached = Event{
		Code: 613, Name: "CoreUnreached", Level: zerolog.WarnLevel, Fields: []string{"Leader"},
		Meaning: "The core's leader doesn't answer. Jobs go on under the last routes and placers known.",
		Action:  "Check the hosts of the core and the network.",
	}
	PlacerKnown = Event{
		Code: 614, Name: "PlacerKnown", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Shard", "Placer", "Epoch"},
		Meaning: "This entry host knows who places for a data centre or one shard of it.",
		Action:  "None.",
	}
	PlacerSilent = Event{
		Code: 615, Name: "PlacerSilent", Level: zerolog.WarnLevel, Fields: []string{"Placer", "Epoch"},
		Meaning: "A placer doesn't answer this entry host. New jobs go to another data centre.",
		Action:  "Check that host.",
	}
	PlacerAnswers = Event{
		Code: 616, Name: "PlacerAnswers", Level: zerolog.InfoLevel, Fields: []string{"Placer", "Epoch"},
		Meaning: "A placer that was silent answers again.",
		Action:  "None.",
	}
	EvacuationInForce = Event{
		Code: 617, Name: "EvacuationInForce", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Version"},
		Meaning: "This entry host knows that a data centre is evacuated. New jobs go to the others.",
		Action:  "None.",
	}
	EvacuationReverted = Event{
		Code: 618, Name: "EvacuationReverted", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Version"},
		Meaning: "This entry host knows that a data centre is no longer evacuated. Its placer takes jobs again 1.5 s later.",
		Action:  "None.",
	}
	JobTaken = Event{
		Code: 620, Name: "JobTaken", Level: zerolog.DebugLevel, Fields: []string{"Job", "Route", "Routes", "Placer", "Epoch", "Tasks", "PatienceMs"},
		Meaning: "A job was taken from a caller and handed to a placer.",
		Action:  "None.",
	}
	JobRehanded = Event{
		Code: 621, Name: "JobRehanded", Level: zerolog.InfoLevel, Fields: []string{"Job", "Placer", "Epoch"},
		Meaning: "An open job was handed to a new placer.",
		Action:  "None.",
	}
	JobAnswered = Event{
		Code: 622, Name: "JobAnswered", Level: zerolog.InfoLevel, Fields: []string{"Job", "Route", "Placer", "Outcome", "Reason", "TookMs"},
		Meaning: "A caller got the answer to a job.",
		Action:  "Refused: see the reason. Unknown: look for the job's lines on its placer.",
	}
	CallerLeft = Event{
		Code: 623, Name: "CallerLeft", Level: zerolog.InfoLevel, Fields: []string{"Job", "Placer", "TookMs", "Checked"},
		Meaning: "A caller left before its job had ended. The job is withdrawn. Checked: the host asked for the state of the connection before the listener had noticed.",
		Action:  "None; when most are Checked, the host is short of processor time.",
	}
	JobMalformed = Event{
		Code: 624, Name: "JobMalformed", Level: zerolog.WarnLevel, Fields: []string{"Path", "Error"},
		Meaning: "A caller sent a job that can't be read.",
		Action:  "Tell the caller what the error names.",
	}
	CallerGone = Event{
		Code: 625, Name: "CallerGone", Level: zerolog.InfoLevel, Fields: []string{"Job"},
		Meaning: "A request was read after its caller had closed the connection. Nothing was run.",
		Action:  "None, unless it repeats: then the host is short of processor time.",
	}
	JobAway = Event{
		Code: 626, Name: "JobAway", Level: zerolog.InfoLevel, Fields: []string{"Job", "Tasks", "DataCentre", "Shard", "Room", "ReportMs", "DelayMs"},
		Meaning: "A job that its own data centre couldn't start at once went to another one that has room, before anything of it had started. Room is how many tasks that one could start by its last report, less what this host sent since; ReportMs is the age of the report, DelayMs what the move takes. Room is 0 if the job followed an earlier copy of it.",
		Action:  "None.",
	}
	PlacingBegan = Event{
		Code: 630, Name: "PlacingBegan", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Shard", "Epoch", "Former", "Servers", "TableEpoch", "TableMs"},
		Meaning: "This host places the runs of its data centre, or of one shard of it, from now on. It begins with the servers of a table that the placer of TableEpoch told; that one may have used others for TableMs, -1 when nothing is known of that.",
		Action:  "None.",
	}
	PlacingEnded = Event{
		Code: 631, Name: "PlacingEnded", Level: zerolog.InfoLevel, Fields: []string{"Epoch", "Reason", "Jobs"},
		Meaning: "This host places no more. The entry hosts hand its jobs to the next placer.",
		Action:  "None.",
	}
	JobHanded = Event{
		Code: 632, Name: "JobHanded", Level: zerolog.DebugLevel, Fields: []string{"Job", "From", "Again", "Former", "HeldMs", "AgeMs"},
		Meaning: "The placer took a job from an entry host. Former is the epoch of the placer that had it before, HeldMs how long that one had it after another one.",
		Action:  "None.",
	}
	JobPlaced = Event{
		Code: 633, Name: "JobPlaced", Level: zerolog.InfoLevel, Fields: []string{"Job", "Route", "Outcome", "Reason", "TookMs", "WaitMs", "Waiting", "Servers"},
		Meaning: "The placer told the end of a job. WaitMs is how long the work ahead of it was expected to take, Waiting the jobs that waited, Servers those in use.",
		Action:  "Refused: the reason names what was missing. Failed: see its runs.",
	}
	RunChanged = Event{
		Code: 634, Name: "RunChanged", Level: zerolog.InfoLevel, Fields: []string{"Change", "Epoch", "Job", "Task", "Run", "BackendServer", "Reason", "TookMs", "ExpectedMs"},
		Meaning: "A run was started, ended, adopted from an earlier placer or ordered to stop, or its task waits again. Rejoined: another entry host, the Reason, waits for the job too. Besides: a run was found beside another one of its task. Barred: a start of the job may still be carried out; the Reason tells whether it was given up here or a copy waits.",
		Action:  "Look at the backend server when runs fail or vanish on it.",
	}
	ServerChanged = Event{
		Code: 635, Name: "ServerChanged", Level: zerolog.InfoLevel, Fields: []string{"Change", "BackendServer", "Reason", "IntervalMs"},
		Meaning: "A backend server was found, fell silent, answers again, was ejected, let back or lost.",
		Action:  "Check a backend server that is ejected or silent again and again.",
	}
	OrderUnanswered = Event{
		Code: 636, Name: "OrderUnanswered", Level: zerolog.WarnLevel, Fields: []string{"BackendServer", "Order", "Error"},
		Meaning: "A backend server left an order unanswered or answered what can't be read.",
		Action:  "Check that server and the network to it.",
	}
	ReportMalformed = Event{
		Code: 637, Name: "ReportMalformed", Level: zerolog.WarnLevel, Fields: []string{"BackendServer", "Error"},
		Meaning: "A report that should be a backend server's can't be read. It names no server to use.",
		Action:  "Find out who sends it.",
	}
	AnswerRowsUnread = Event{
		Code: 639, Name: "AnswerRowsUnread", Level: zerolog.WarnLevel, Fields: []string{"BackendServer", "Rows", "Error"},
		Meaning: "A backend server listed runs in rows that can't be read. The other rows hold; while the server lists such rows, it gets no new tasks and no run counts as vanished there. Logged once a server.",
		Action:  "Check that server.",
	}
	PlacingSettled = Event{
		Code: 638, Name: "PlacingSettled", Level: zerolog.InfoLevel, Fields: []string{"TookMs"},
		Meaning: "The placer knows what earlier placers left running.",
		Action:  "None.",
	}
	SettingsReloaded = Event{
		Code: 640, Name: "SettingsReloaded", Level: zerolog.InfoLevel, Fields: []string{"Seeds"},
		Meaning: "Changed settings were read.",
		Action:  "None.",
	}
	SettingsKept = Event{
		Code: 641, Name: "SettingsKept", Level: zerolog.WarnLevel, Fields: []string{"Error"},
		Meaning: "Changed settings can't be used. Those before stay in force.",
		Action:  "Mend the field that the error names.",
	}
	ListenerCloses = Event{
		Code: 642, Name: "ListenerCloses", Level: zerolog.WarnLevel, Fields: []string{"Address", "Error"},
		Meaning: "A stopping host couldn't close its listener for callers as it should. Connections that are opened in that moment may be reset.",
		Action:  "None, unless callers miss answers when hosts are stopped: then see the error.",
	}
	ShardsCommitted = Event{
		Code: 650, Name: "ShardsCommitted", Level: zerolog.InfoLevel, Fields: []string{"DataCentre", "Shards", "PlacingCapacity"},
		Meaning: "The core has divided the backend servers of a data centre into shards, for good: none of its hosts has the processor time to place for all of them.",
		Action:  "None.",
	}
	JobShed = Event{
		Code: 651, Name: "JobShed", Level: zerolog.InfoLevel, Fields: []string{"Job", "Route", "Waited", "Class", "Highest", "Large", "WorkCoreS", "RateCores", "StartMs", "DueMs", "LastMs"},
		Meaning: "The placer refused a job because its loss costs callers least; a line 633 tells its end. Waited: it waited already and was displaced. Class: of its value for its work, two for each factor of two. Highest: of the jobs that had to make room. Large: it is among the largest tenth of its route. WorkCoreS: run time of its tasks times their cores. RateCores: what the servers complete per second. StartMs, DueMs, LastMs: expected start, latest start to be in time and to be of use, from then.",
		Action:  "None in a burst. If it lasts, compare RateCores with the cores that should be there.",
	}
	MembersNotStored = Event{
		Code: 652, Name: "MembersNotStored", Level: zerolog.WarnLevel, Fields: []string{"Error"},
		Meaning: "This host, which waits for a place in the core, can't store the members that it knows. After a restart it asks the seeds.",
		Action:  "Make room on the disk or mend it.",
	}
	RequestUndecided = Event{
		Code: 690, Name: "RequestUndecided", Level: zerolog.WarnLevel, Fields: []string{"Path", "Error", "TookMs"},
		Meaning: "An operator's request got the answer 503 from this host of the core, after TookMs. A change may be committed all the same if the leader has changed meanwhile.",
		Action:  "None, unless it repeats: then check that a majority of the core's hosts runs and has processor time.",
	}
)

// hostedEvents returns the events above, ordered by code.
func hostedEvents() []Event {
	return []Event{
		CoreLeading, CoreJoined, RoutesCommitted, RoutesRefused, PlacementCommitted, DiskFailed, DiskFull, DiskHasRoom, EvacuationCommitted, EvacuationRefused,
		RoutesInForce, RoutesUnreadable, CoreReached, CoreUnreached, PlacerKnown, PlacerSilent, PlacerAnswers, EvacuationInForce, EvacuationReverted,
		JobTaken, JobRehanded, JobAnswered, CallerLeft, JobMalformed, CallerGone, JobAway,
		PlacingBegan, PlacingEnded, JobHanded, JobPlaced, RunChanged, ServerChanged, OrderUnanswered, ReportMalformed, PlacingSettled, AnswerRowsUnread,
		SettingsReloaded, SettingsKept, ListenerCloses,
		ShardsCommitted, JobShed, MembersNotStored, RequestUndecided,
	}
}
