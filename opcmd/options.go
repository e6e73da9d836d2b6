package opcmd

import (
	"path/filepath"
	"time"
)

// Options holds the options and commands of the command line.
type Options struct {
	Hosts    []string `long:"host" env:"DOGWOODROCK_HOSTS" env-delim:"," default:"127.0.0.1:8080" value-name:"IP:PORT" description:"entry host to try, in this order; may be given several times"`
	JSON     bool     `long:"json" description:"print answers as JSON"`
	Version  bool     `long:"version" description:"print the version of this program"`
	State    string   `long:"state" env:"DOGWOODROCK_STATE" value-name:"FOLDER" description:"folder for edits that wait for their answer"`
	Operator string   `long:"operator" env:"DOGWOODROCK_OPERATOR" value-name:"NAME" description:"name that the history shows for an edit"`

	Get     GetOptions      `command:"get" description:"print a list"`
	Put     PutOptions      `command:"put" description:"replace a list by a file"`
	Edit    ListOptions     `command:"edit" description:"change a list in $EDITOR"`
	Diff    FileOptions     `command:"diff" description:"compare the list in force with a file"`
	History struct{}        `command:"history" description:"print who changed the lists"`
	Explain CustomerOptions `command:"explain" description:"print what a customer may use and uses"`
	Status  StatusOptions   `command:"status" description:"print what the hosts know of the system"`
	Session SessionOptions  `command:"session" description:"open a session for a customer"`
	Submit  SubmitOptions   `command:"submit" description:"hand in a job"`
	Fetch   FetchOptions    `command:"fetch" description:"print the answer to a job"`
	Cancel  CancelOptions   `command:"cancel" description:"cancel jobs by key or group"`
	Trace   TraceOptions    `command:"trace" description:"print what the logs of hosts tell of one job"`
	Check   FileArgument    `command:"check-settings" description:"check a settings file of a daemon, YAML or the platform's TOML, or its deploy file"`

	CheckDocument CheckOptions `command:"check" description:"check the platform's routes document before it is sent"`

	Evacuate EvacuateOptions `command:"evacuate" description:"move all jobs out of a data centre; --host names control addresses of the core"`
}

// ListOptions names a list.
type ListOptions struct {
	Args struct {
		List string `positional-arg-name:"customers|plans"`
	} `positional-args:"yes" required:"yes"`
}

// GetOptions names a list and one of its versions.
type GetOptions struct {
	ListOptions
	At uint64 `long:"at" value-name:"VERSION" description:"print the list as it was at this version"`
}

// FileOptions names a list and a file.
type FileOptions struct {
	Args struct {
		List string `positional-arg-name:"customers|plans"`
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// PutOptions names a list, a file and the version that the file is based on.
type PutOptions struct {
	FileOptions
	Base *uint64 `long:"base" value-name:"VERSION" description:"version that the file was made from, when its last line doesn't say so"`
}

// StatusOptions selects the kind of system to query.
type StatusOptions struct {
	Core bool `long:"core" description:"the hosts find each other by a core; --host names the addresses of their metrics"`
}

// CheckOptions names a routes document and the source of the document in force.
type CheckOptions struct {
	Against     string `long:"against" value-name:"IP:PORT" description:"control address of a core host; also print the differences from the document in force"`
	AgainstFile string `long:"against-file" value-name:"FILE" description:"the same for a file that holds the document in force"`
	FileArgument
}

// EvacuateOptions names a data centre.
type EvacuateOptions struct {
	End  bool `long:"end" description:"revert the evacuation"`
	Args struct {
		DataCentre string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// TraceOptions names a job and the logs of hosts.
type TraceOptions struct {
	Args struct {
		Job   string   `positional-arg-name:"JOB" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs; standard input when none is given"`
	} `positional-args:"yes"`
}

// FileArgument names a file.
type FileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// IsTOML reports whether the file name has the extension .toml.
func (a *FileArgument) IsTOML() bool {
	return filepath.Ext(a.Args.File) == ".toml"
}

// CustomerOptions names a customer.
type CustomerOptions struct {
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER"`
	} `positional-args:"yes" required:"yes"`
}

// SessionOptions names the customer of a session.
type SessionOptions struct {
	CustomerOptions
}

// SubmitOptions names the file of a submission and its bare key.
type SubmitOptions struct {
	Key  string `long:"key" value-name:"KEY" description:"makes the job safe to submit again, in place of Session and Key"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON of a Submission, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// FetchOptions names a job and how long to wait for its answer.
type FetchOptions struct {
	Wait time.Duration `long:"wait" default:"0s" value-name:"TIME" description:"wait so long while the job runs"`
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

// CancelOptions names the jobs to cancel.
type CancelOptions struct {
	Customer string `long:"customer" required:"yes" value-name:"NAME" description:"customer whose jobs they are"`
	Session  string `long:"session" value-name:"SESSION" description:"session of the key"`
	Key      string `long:"key" value-name:"KEY" description:"key of the job"`
	Group    string `long:"group" value-name:"GROUP" description:"group of the jobs"`
}
