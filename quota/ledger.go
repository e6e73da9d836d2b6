package quota

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// maxPrevious is the number of changes of the data centres that may settle at
// the same time.
const maxUnsettled = 8

// Kind names what a Command asks for.
type Kind uint8

// The kinds of commands, each with the fields that it uses.
const (
	// KindBegin starts an empty Ledger: DataCentres, FirstInstallation.
	KindBegin Kind = iota + 1
	// KindLend records a loan before its borrower hears of it: Loan, Share.
	KindLend
	// KindReturn ends a loan that its borrower has stopped using: Loan.ID.
	KindReturn
	// KindNewView restarts all times by the clock of a new primary.
	KindNewView
	// KindDataCentres changes the data centres that share: DataCentres.
	KindDataCentres
	// KindTick only moves the time forward.
	KindTick
)

// Command is one entry of the replicated log. It is flat but for the loan.
type Command struct {
	Kind              Kind
	At                int64 // the primary's clock in Unix nanoseconds
	Loan              Loan
	Share             Limits // of the lender, by the lists in force at its primary
	DataCentres       []string
	FirstInstallation bool // a disk proves that the group has lent nothing before
}

// Result is the effect of one Command.
type Result struct {
	Loan    Loan // as recorded
	Refusal *model.RefusalError
}

// LoanOut is a recorded loan and the time from which the lender counts on it
// again.
type LoanOut struct {
	Loan
	ReuseAt int64
}

// Ledger records the loans that a data centre has given. Like a claim.Book it
// is driven by the log of the replication group and belongs to one goroutine.
type Ledger struct {
	cfg         Settings
	own         string
	now         int64
	begun       bool
	dataCentres []string
	previous    [][]string // that shared before, until settledAt
	settledAt   int64
	blindUntil  int64 // until then, loans may be out that are not recorded
	loans       []LoanOut
	lent        map[string]Limits // by customer
}

// NewLedger returns an empty Ledger of a data centre.
func NewLedger(own string, opts ...Option) *Ledger {
	return &Ledger{cfg: newSettings(opts), own: own, lent: make(map[string]Limits)}
}

// Apply takes the next command of the log.
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

// begin starts a Ledger. Without proof that nothing was lent before, it counts
// half of each share as lent, the most that can be, until such loans are over.
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

// lend records a loan. A request that was sent again gets the same loan.
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

// reuseAt returns when a loan that is recorded now has surely ended.
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

// expire ends the loans that are over; they are in the order of ReuseAt.
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

// restartTimes counts everything anew by the clock of a new primary, which may
// differ from the one before by any offset.
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

// changeDataCentres makes shares that shrink smaller at once, and those that
// grow greater after Settle. A data centre that is new begins with the list
// without itself and changes to the one with itself.
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

// Share returns the part of a customer's limits that the data centre has
// without borrowing, loans that it has given included.
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

// Lent returns what is lent of a share.
func (l *Ledger) Lent(customer string, share Limits) Limits {
	if l.now < l.blindUntil {
		return share.Half()
	}
	return l.lent[customer]
}

// Allowance returns what the data centre may use of a customer's limits
// without borrowing.
func (l *Ledger) Allowance(customer string, limits Limits) Limits {
	share := l.Share(customer, limits)
	return share.Minus(l.Lent(customer, share))
}

// Loans returns the number of loans out.
func (l *Ledger) LoanCount() int { return len(l.loans) }

func refused(code model.Code, reason string) Result {
	return Result{Refusal: &model.RefusalError{Code: code, Reason: reason, NotRun: true}}
}
