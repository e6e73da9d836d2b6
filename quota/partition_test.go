package quota

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const (
	testSeed = 20261204
	customer = "club"

	// The durations of the simulation in nanoseconds of true time; one step is one nanosecond.
	simSteps      = 6000
	simLoanTime   = 600
	simMargin     = 7 // more than simLoanTime * clockDrift, rounded up
	simDrain      = 60
	simLag        = 40
	simSettleTime = 730  // SettleTime of the simulation's Settings, by a slow clock
	clockDrift    = 0.01 // of a clock's rate, either way
)

// loanSim simulates several data centres that share a customer's limit.
type loanSim struct {
	rng              *rand.Rand
	now              int64
	dcs              []*simDC
	queue            []message
	limits           []int // the active limit, by step
	partitionedUntil int64
	lastID           int
}

// simDC is a data centre in a loanSim.
type simDC struct {
	name      string
	rate      float64
	offset    int64
	limit     int
	ledger    *Ledger
	borrower  *Borrower
	taskEnds  []int64 // true time
	busyUntil int64
}

// message is a message that is delivered at a step.
type message struct {
	at     int64
	handle func()
}

func newLoanSim(seed uint64, margin, drain time.Duration) *loanSim {
	sim := &loanSim{rng: rand.New(rand.NewPCG(testSeed, seed))}
	opts := []Option{WithLoanTime(simLoanTime, margin), WithDrain(drain), WithMaxLoans(64), withLag(simLag)}
	n := 3 + sim.rng.IntN(3)
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("dc", i)
	}
	limit := 2 + sim.rng.IntN(30)
	for _, name := range names {
		dc := &simDC{name: name, limit: limit, ledger: NewLedger(name, opts...), borrower: NewBorrower(opts...)}
		dc.rate = 1 + clockDrift*float64(1-2*sim.rng.IntN(2))
		dc.offset = sim.rng.Int64N(1000)
		dc.ledger.Apply(Command{Kind: KindBegin, At: sim.clock(dc), DataCentres: names[:n-1], FirstInstallation: true})
		sim.dcs = append(sim.dcs, dc)
	}
	sim.limits = append(sim.limits, limit)
	change := func(dc *simDC) {
		dc.ledger.Apply(Command{Kind: KindDataCentres, At: sim.clock(dc), DataCentres: names})
	}
	sim.propagate(sim.rng.Int64N(simSteps), change)
	return sim
}

func withLag(d time.Duration) Option       { return func(s *Settings) { s.Lag = d } }
func (sim *loanSim) clock(dc *simDC) int64 { return dc.offset + int64(float64(sim.now)*dc.rate) }

// propagate delivers a change to every data centre, each after a random part of simLag.
func (sim *loanSim) propagate(at int64, f func(*simDC)) {
	for _, dc := range sim.dcs {
		sim.queue = append(sim.queue, message{at: at + sim.rng.Int64N(simLag), handle: func() { f(dc) }})
	}
}

// send loses some messages, and all of them across a partition.
func (sim *loanSim) send(from, to *simDC, handle func()) {
	if sim.rng.IntN(10) == 0 || (sim.now < sim.partitionedUntil && (from == sim.dcs[0]) != (to == sim.dcs[0])) {
		return
	}
	sim.queue = append(sim.queue, message{at: sim.now + sim.rng.Int64N(4), handle: handle})
}

// run reports whether the running tasks stayed within the limit at every step.
func (sim *loanSim) run() bool {
	for ; sim.now < simSteps; sim.now++ {
		sim.deliver()
		sim.injectFaults()
		running := 0
		for _, dc := range sim.dcs {
			sim.runTasks(dc)
			running += len(dc.taskEnds)
		}
		if running > slices.Max(sim.limits[max(0, sim.now-simSettleTime):]) {
			return false
		}
	}
	return true
}

func (sim *loanSim) deliver() {
	pending := sim.queue
	sim.queue = nil
	for _, m := range pending {
		if m.at <= sim.now {
			m.handle()
		} else {
			sim.queue = append(sim.queue, m)
		}
	}
}

// injectFaults changes the limit, partitions a data centre or replaces a primary.
func (sim *loanSim) injectFaults() {
	limit := sim.limits[len(sim.limits)-1]
	switch sim.rng.IntN(4000) {
	case 0:
		limit = 2 + sim.rng.IntN(30)
		sim.propagate(sim.now, func(dc *simDC) { dc.limit = limit })
	case 1, 2:
		sim.partitionedUntil = sim.now + sim.rng.Int64N(2*simLoanTime)
	case 3, 4, 5:
		dc := sim.dcs[sim.rng.IntN(len(sim.dcs))]
		dc.offset = sim.rng.Int64N(1000)
		dc.ledger.Apply(Command{Kind: KindNewView, At: sim.clock(dc)})
		dc.borrower = &Borrower{cfg: dc.borrower.cfg, pending: map[string]Request{}, held: map[string][]heldLoan{}}
	}
	sim.limits = append(sim.limits, limit)
}

func (dc *simDC) ownAllowance() Limits {
	return dc.ledger.Allowance(customer, Limits{MaxRunning: dc.limit})
}
func (dc *simDC) inUse() Limits { return Limits{MaxRunning: len(dc.taskEnds)} }

// runTasks ends and starts tasks, and requests and returns loans.
func (sim *loanSim) runTasks(dc *simDC) {
	dc.ledger.Apply(Command{Kind: KindTick, At: sim.clock(dc)})
	if sim.rng.IntN(20) == 0 {
		dc.ledger = Restore(dc.ledger.Snapshot())
	}
	dc.borrower.Sweep(sim.clock(dc))
	dc.taskEnds = slices.DeleteFunc(dc.taskEnds, func(end int64) bool { return end <= sim.now })
	if sim.rng.IntN(200) == 0 {
		dc.busyUntil = sim.now + sim.rng.Int64N(2*simLoanTime)
	}
	if sim.now >= dc.busyUntil {
		sim.returnSurplus(dc)
		return
	}
	allowed := dc.ownAllowance().Plus(dc.borrower.Allowance(customer, sim.clock(dc))).MaxRunning
	for len(dc.taskEnds) < allowed {
		// by a fast clock, Drain ends earlier in true time
		dc.taskEnds = append(dc.taskEnds, sim.now+1+sim.rng.Int64N(2)*(simDrain-2))
	}
	sim.requestLoan(dc)
}

func (sim *loanSim) returnSurplus(dc *simDC) {
	for _, l := range dc.borrower.ReleaseSurplus(customer, dc.ownAllowance(), dc.inUse(), sim.clock(dc)) {
		lender := sim.dc(l.Lender)
		sim.send(dc, lender, func() { lender.ledger.Apply(Command{Kind: KindReturn, At: sim.clock(lender), Loan: l}) })
	}
}

func (sim *loanSim) requestLoan(dc *simDC) {
	if dc.borrower.HasPending(customer) {
		return
	}
	var spares []Spare
	for _, o := range sim.dcs {
		if o != dc {
			spares = append(spares, Spare{DataCentre: o.name, Limits: o.ownAllowance().Minus(o.inUse())})
		}
	}
	name, want, ok := ChooseLender(Limits{MaxRunning: 10}, 1, spares)
	if !ok {
		return
	}
	sim.lastID++
	r := Request{ID: fmt.Sprint(sim.lastID), Customer: customer, Lender: name, Borrower: dc.name, Want: want, SentAt: sim.clock(dc)}
	dc.borrower.AddRequest(r)
	for range 1 + sim.rng.IntN(2) { // sometimes sent twice
		sim.send(dc, sim.dc(name), func() { sim.handleRequest(sim.dc(name), dc, r) })
	}
}

func (sim *loanSim) handleRequest(lender, borrower *simDC, r Request) {
	limits := Limits{MaxRunning: lender.limit}
	share := lender.ledger.Share(customer, limits)
	l := Loan{ID: r.ID, Customer: r.Customer, Lender: r.Lender, Borrower: r.Borrower}
	l.Amount = LoanAmount(r.Want, share, lender.ledger.Lent(customer, share), lender.inUse())
	res := lender.ledger.Apply(Command{Kind: KindLend, At: sim.clock(lender), Loan: l, Share: share})
	sim.send(lender, borrower, func() {
		if res.Refusal != nil {
			borrower.borrower.RemoveRequest(r.ID)
			return
		}
		borrower.borrower.Accept(res.Loan)
	})
}

func (sim *loanSim) dc(name string) *simDC {
	return sim.dcs[slices.IndexFunc(sim.dcs, func(dc *simDC) bool { return dc.name == name })]
}

// TestLoansAcrossPartitions simulates data centres with partitions, lost and repeated messages,
// clock drift, and changes of limits, of data centres and of primaries. It guards against a
// customer's limit being exceeded because a lender uses its part again while the borrower still
// runs tasks on the loan: the cases without margin or without drain must exceed it.
func TestLoansAcrossPartitions(t *testing.T) {
	const runs = 60
	tests := map[string]struct {
		margin, drain time.Duration
		safe          bool
	}{
		"with margin and drain": {margin: simMargin, drain: simDrain, safe: true},
		"without margin":        {drain: simDrain},
		"without drain":         {margin: simMargin},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var seed uint64
			for seed < runs && newLoanSim(seed, tc.margin, tc.drain).run() {
				seed++
			}
			if (seed == runs) != tc.safe {
				t.Errorf("%d of %d runs stayed within the limit before one exceeded it, want safe %t", seed, runs, tc.safe)
			}
		})
	}
}

// TestRestore checks that a snapshot contains the whole state.
func TestRestore(t *testing.T) {
	for seed := range uint64(3) {
		sim := newLoanSim(seed, simMargin, simDrain)
		sim.run()
		for _, dc := range sim.dcs {
			if got := Restore(dc.ledger.Snapshot()); !reflect.DeepEqual(got, dc.ledger) {
				t.Errorf("seed %d: got %+v, want %+v", seed, got, dc.ledger)
			}
		}
	}
}
