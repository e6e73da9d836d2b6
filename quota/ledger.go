package quota

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// maxUnsettled is the maximum number of changes of the data centres that have not taken full
// effect.
const maxUnsettled = 8

// Kind is the type of a Command.
type Kind uint8

// The kinds of commands, each with the fields of Command that it uses.
const (
	// KindBegin initializes an empty Ledger: DataCentres, FirstInstallation.
	KindBegin Kind = iota + 1
	// KindLend records a loan; it must commit before the borrower receives the loan: Loan, Share.
	KindLend
	// KindReturn removes a loan that its borrower no longer uses: Loan.ID.
	KindReturn
	// KindNewView restarts all timers by the clock of a new primary.
	KindNewView
	// KindDataCentres changes the data centres among which limits are divided: DataCentres.
	KindDataCentres
	// KindTick only advances the clock.
	KindTick
)

// Command is one entry of the replicated log. It is flat except for the loan.
type Command struct {
	Kind              Kind
	At                int64 // the primary's clock in Unix nanoseconds
	Loan              Loan
	Share             Limits // of the lender, by the active configuration at its primary
	DataCentres       []string
	FirstInstallation bool // a disk proves that the group has never lent anything
}

// Result is the effect of one Command.
type Result struct {
	Loan    Loan // the recorded loan
	Refusal *model.RefusalError
}

// LoanOut is a recorded loan with the time from which the lender may use the lent part again.
type LoanOut struct {
	Loan
	ReuseAt int64
}

// Ledger records the loans that a data centre has given. Like a claim.Registry, it is a state
// machine driven by the log of the replication group, and belongs to a single goroutine.
type Ledger struct {
	cfg         Settings
	own         string
	now         int64
	begun       bool
	dataCentres []string
	previous    [][]string // earlier lists of data centres, which still limit the shares until settledAt
	settledAt   int64
	blindUntil  int64 // until then, there may be loans that are not recorded
	loans       []LoanOut
	lent        map[string]Limits // by customer
}

// NewLedger returns an empty Ledger for the data centre own.
func NewLedger(own string, opts ...Option) *Ledger {
	return &Ledger{cfg: newSettings(opts), own: own, lent: make(map[string]Limits)}
}

// Apply applies the next command of the log.
func (l *Ledger) Apply(c Command) Result {
	if c.Kind == KindNewView {
		l.restartTimers(c.At)
		return Result{}
	}
	l.now = max(l.now, c.At)
	l.expire()
	l.dropSettled()
	switch c.Kind {
	case KindBegin:
		l.begin(&c)
	case KindLend:
		return l.lend(&c)
	case KindReturn:
		l.endLoan(c.Loan.ID)
	case KindDataCentres:
		return l.changeDataCentres(c.DataCentres)
	}
	return Result{}
}

// begin initializes a Ledger. Without proof that nothing was lent before, it treats half of each
// share, the maximum that can be lent, as lent until all such loans have expired.
func (l *Ledger) begin(c *Command) {
	if l.begun {
		return
	}
	l.begun = true
	l.dataCentres = slices.Clone(c.DataCentres)
	if !c.FirstInstallation {
		l.blindUntil = l.now + int64(l.cfg.SettleTime())
	}
}

// lend records a loan. A repeated request gets the same loan.
func (l *Ledger) lend(c *Command) Result {
	if !l.begun {
		return refused(model.CodeUnavailable, "the group has not begun")
	}
	if i := l.findLoan(c.Loan.ID); i >= 0 {
		return Result{Loan: l.loans[i].Loan}
	}
	customer := c.Loan.Customer
	lent := l.Lent(customer, c.Share).Plus(c.Loan.Amount)
	if c.Loan.Amount.Total() <= 0 || !lent.Within(c.Share.Half()) {
		return refused(model.CodeQuotaExhausted, "the data centre has no more to lend")
	}
	if len(l.loans) >= l.cfg.MaxLoans {
		return refused(model.CodeOverloaded, "the table of loans is full")
	}
	l.loans = append(l.loans, LoanOut{Loan: c.Loan, ReuseAt: l.reuseAt()})
	l.lent[customer] = l.lent[customer].Plus(c.Loan.Amount)
	return Result{Loan: c.Loan}
}

// reuseAt returns when a loan that is recorded now has certainly expired at its borrower.
func (l *Ledger) reuseAt() int64 {
	return l.now + int64(l.cfg.LoanTime+l.cfg.Margin)
}

func (l *Ledger) findLoan(id string) int {
	return slices.IndexFunc(l.loans, func(o LoanOut) bool { return o.ID == id })
}

func (l *Ledger) endLoan(id string) {
	if i := l.findLoan(id); i >= 0 {
		l.removeLoan(i)
	}
}

// expire removes the loans whose ReuseAt has passed; the loans are in the order of ReuseAt.
func (l *Ledger) expire() {
	for len(l.loans) > 0 && l.now >= l.loans[0].ReuseAt {
		l.removeLoan(0)
	}
}

func (l *Ledger) removeLoan(i int) {
	o := l.loans[i]
	l.loans = slices.Delete(l.loans, i, i+1)
	l.lent[o.Customer] = l.lent[o.Customer].Minus(o.Amount)
	if l.lent[o.Customer] == (Limits{}) {
		delete(l.lent, o.Customer)
	}
}

// restartTimers restarts all timers by the clock of a new primary, which may differ from that of
// the previous one by any offset.
func (l *Ledger) restartTimers(at int64) {
	prevNow := l.now
	l.now = at
	for i := range l.loans {
		l.loans[i].ReuseAt = l.reuseAt()
	}
	if len(l.previous) > 0 {
		l.settledAt = at + int64(l.cfg.SettleTime())
	}
	if prevNow < l.blindUntil {
		l.blindUntil = at + int64(l.cfg.SettleTime())
	} else {
		l.blindUntil = at
	}
}

// changeDataCentres changes the data centres among which limits are divided. Shares that shrink do
// so immediately, shares that grow do so after SettleTime. A new data centre must begin with the
// list that doesn't contain it and then change to the list that does.
func (l *Ledger) changeDataCentres(dcs []string) Result {
	if slices.Equal(dcs, l.dataCentres) {
		return Result{}
	}
	if len(l.previous) >= maxUnsettled {
		return refused(model.CodeOverloaded, "earlier changes of the data centres have not settled yet")
	}
	l.previous = append(l.previous, l.dataCentres)
	l.dataCentres = slices.Clone(dcs)
	l.settledAt = l.now + int64(l.cfg.SettleTime())
	return Result{}
}

func (l *Ledger) dropSettled() {
	if l.now >= l.settledAt {
		l.previous = nil
	}
}

// Share returns the part of a customer's limits that the data centre has without borrowing. It
// includes the part that is lent to others.
func (l *Ledger) Share(customer string, limits Limits) Limits {
	if !l.begun {
		return Limits{}
	}
	share := Share(customer, limits, l.dataCentres, l.own)
	for _, list := range l.previous {
		share = share.Min(Share(customer, limits, list, l.own))
	}
	return share
}

// Lent returns the part of a customer's share that is lent.
func (l *Ledger) Lent(customer string, share Limits) Limits {
	if l.now < l.blindUntil {
		return share.Half()
	}
	return l.lent[customer]
}

// Allowance returns the part of a customer's limits that the data centre may use without borrowing:
// its share without what it has lent.
func (l *Ledger) Allowance(customer string, limits Limits) Limits {
	share := l.Share(customer, limits)
	return share.Minus(l.Lent(customer, share))
}

// LoanCount returns the number of recorded loans.
func (l *Ledger) LoanCount() int { return len(l.loans) }

func refused(code model.Code, reason string) Result {
	return Result{Refusal: &model.RefusalError{Code: code, Reason: reason, NotRun: true}}
}
