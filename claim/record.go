package claim

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// record is one claim, from its submission until it is removed.
type record struct {
	seq           uint64 // order of claims
	endSeq        uint64 // order of outcomes, 0 while running
	endedAt       int64
	scope         *scope
	keyAndJob     string // key and job in one string, to save memory
	group         string
	digest        [16]byte
	owner         *owner
	answer        *model.Answer // nil while the job is running and after eviction
	keyBytes      uint32        // length of the key in keyAndJob
	tasks         int32
	jobState      uint8 // a model.JobState, in one byte
	nonIdempotent bool
	cancelled     bool // cancelled while the job was running
	prevented     bool // cancelled before the submission, so the job never started
	released      bool // the job ended before any task started, so the key can be claimed again
	unkeyed       bool // the epoch has expired, so submissions of the key are refused
}

func (r *record) key() string { return r.keyAndJob[:r.keyBytes] }

// job returns the name of the job, or an empty string if the record has no job.
func (r *record) job() string { return r.keyAndJob[r.keyBytes:] }

func (r *record) setKeyAndJob(key, job string) {
	r.keyAndJob = key + job
	r.keyBytes = uint32(len(key))
}

func (r *record) state() model.JobState { return model.JobState(r.jobState) }

func (r *record) setState(s model.JobState) { r.jobState = uint8(s) }

// scope is the namespace in which a key is unique: a session, or the bare keys of a customer.
type scope struct {
	name     string // session name; empty for bare keys
	customer *customer
	epoch    *epoch // nil for bare keys
}

// customer counts the entries of a customer in the bounded tables.
type customer struct {
	name     string
	bare     *scope
	sessions int
	claims   int
}

// owner is one incarnation of a host with its running claims.
type owner struct {
	host        string
	incarnation uint64
	running     recordSet
}

type recordKey struct {
	scope *scope
	key   string
}

type groupKey struct {
	customer *customer
	group    string
}

// recordSet is a set of records, keyed by seq.
type recordSet map[uint64]*record

// sorted returns the records in the order of their claims.
func (s recordSet) sorted() []*record {
	list := make([]*record, 0, len(s))
	for _, r := range s {
		list = append(list, r)
	}
	slices.SortFunc(list, bySeq)
	return list
}

func bySeq(a, b *record) int {
	if a.seq < b.seq {
		return -1
	}
	return 1
}

func (r *record) jobOwner() JobOwner {
	o := JobOwner{Job: r.job()}
	if r.owner != nil {
		o.Host, o.Incarnation = r.owner.host, r.owner.incarnation
	}
	return o
}

// customer returns the entry of a customer and creates it if necessary.
func (reg *Registry) customer(name string) *customer {
	cu := reg.customers[name]
	if cu == nil {
		cu = &customer{name: name}
		cu.bare = &scope{customer: cu}
		reg.customers[name] = cu
	}
	return cu
}

// removeIdleCustomer removes a customer that has no claims and no sessions.
func (reg *Registry) removeIdleCustomer(cu *customer) {
	if cu.claims == 0 && cu.sessions == 0 {
		delete(reg.customers, cu.name)
	}
}
