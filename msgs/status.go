package msgs

// The maximum numbers of entries in a StatusDone.
const (
	MaxStatusBackends = 256 // backend servers
	MaxStatusServices = 16  // services of each backend server
)

// StatusAsk requests the status of a data centre's group and its backend servers.
type StatusAsk struct {
	Request uint64
	Host    string
}

// StatusDone answers a StatusAsk. Only the primary, or a host that serves alone,
// includes backend servers.
type StatusDone struct {
	Request        uint64
	DataCentre     string
	Known          bool   // the data centre answered
	Host           string // the host that answered
	Primary        string // empty if the host that answered is not the primary
	Alone          bool   // the host that answered serves alone
	View           uint64
	Commit         uint64
	Total          int            // backend servers
	BackendServers []BackendState // the first of them by name, at most MaxStatusBackends
}

// BackendState is the state of a backend server.
type BackendState struct {
	Name         string
	Address      string
	Services     []string // at most MaxStatusServices
	MoreServices int      // number of services not in Services
	Slots        int
	Granted      int
	Lapsed       bool // it left, or its announcement expired
	Ejected      bool // ejected or probing
	Speed        float64
}
