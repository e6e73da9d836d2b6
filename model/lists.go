package model

// Customer is an entry of the list of customers.
type Customer struct {
	Name string
	Plan string // name of the customer's plan
}

// Plan is an entry of the list of plans. Its limits apply to each customer separately, over all data
// centres together.
type Plan struct {
	Name            string
	Services        []string // services whose tasks may be submitted
	Weight          int      // relative share of contended slots
	MaxRunning      int      // tasks running at the same time
	MaxQueued       int      // tasks queued for a slot at the same time
	StartsPerSecond int      // task starts per second, averaged over a second
	MaxJobTasks     int      // tasks in one job
}

// Lists is a version of the operators' two lists.
type Lists struct {
	Version   uint64
	Customers []Customer
	Plans     []Plan
}
