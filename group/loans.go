package group

import (
	"fmt"
	"maps"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/quota"
)

const (
	loanCheckInterval = 100 * time.Millisecond // between checks for customers short of quota
	retryInterval     = 500 * time.Millisecond // between retries of an unanswered request
	spareValidity     = 500 * time.Millisecond // age at which a lender's report of its spare quota is ignored
	idleBeforeReturn  = 2 * time.Second        // time without a shortage before a loan is returned
	loanFactor        = 2                      // duration of a loan in task timeouts
)

// loanState is the primary's state of borrowing and lending.
type loanState struct {
	borrower    *quota.Borrower
	reserved    map[string]quota.Limits // amounts of loans that have not committed yet, by customer
	spares      map[spareKey]spare
	shortAt     map[string]time.Time // when a customer was last short of quota
	checkedAt   time.Time
	retriedAt   time.Time
	lastRequest uint64
}

type spareKey struct {
	customer   string
	dataCentre string
}

// spare is the spare quota that a lender reported.
type spare struct {
	limits     quota.Limits
	reportedAt time.Time
}

func newLoans(opts []quota.Option) loanState {
	return loanState{
		borrower: quota.NewBorrower(opts...),
		reserved: map[string]quota.Limits{},
		spares:   map[spareKey]spare{},
		shortAt:  map[string]time.Time{},
	}
}

// loanOptions makes loans last longer than the longest task.
func (n *Member) loanOptions() []quota.Option {
	const margin = time.Second
	return []quota.Option{
		quota.WithDrain(n.TaskTimeout),
		quota.WithLoanTime(loanFactor*n.TaskTimeout+margin, margin),
	}
}

// setShares passes the part of each customer's plan that this host may use to the placer.
func (n *Member) setShares(now time.Time) {
	shares := map[string]place.Share{}
	for _, c := range n.lists.Customers {
		if limits, ok := n.limitsOf(c.Name); ok {
			allowed := n.usableLimits(c.Name, limits, now)
			shares[c.Name] = place.Share{MaxRunning: allowed.MaxRunning, StartsPerSecond: allowed.StartsPerSecond}
		}
	}
	p := n.activePlacer()
	if maps.Equal(shares, p.shares) {
		return
	}
	p.shares = shares
	p.placer.SetShares(shares, now)
}

// usableLimits returns the part of a customer's limits that this host may use: for the primary, the
// data centre's own part and its loans; for a host that serves alone, the host's reserve.
func (n *Member) usableLimits(customer string, limits quota.Limits, now time.Time) quota.Limits {
	if n.primary == nil {
		return n.hostReserve(customer, limits, n.ownIndex())
	}
	return n.ownLimits(customer, limits).Plus(n.primary.loans.borrower.Allowance(customer, n.logTime(now)))
}

// ownLimits returns the part of a customer's limits that this data centre may use now without
// borrowing.
func (n *Member) ownLimits(customer string, limits quota.Limits) quota.Limits {
	own := n.ledger.Allowance(customer, limits).Minus(n.primary.loans.reserved[customer])
	return own.Minus(n.withheld(customer, limits))
}

// limitsOf returns a customer's limits that are divided among the data centres.
func (n *Member) limitsOf(customer string) (quota.Limits, bool) {
	p, ok := n.plans[customer]
	return quota.Limits{MaxRunning: p.MaxRunning, StartsPerSecond: p.StartsPerSecond}, ok
}

// plansByCustomer returns the plan of each customer.
func plansByCustomer(l model.Lists) map[string]model.Plan {
	byName := map[string]model.Plan{}
	for _, p := range l.Plans {
		byName[p.Name] = p
	}
	plans := map[string]model.Plan{}
	for _, c := range l.Customers {
		plans[c.Name] = byName[c.Plan]
	}
	return plans
}

// manageLoans borrows for customers that are short of quota, returns unneeded loans and removes
// expired ones.
func (n *Member) manageLoans(now time.Time) {
	l := &n.primary.loans
	if now.Sub(l.checkedAt) < loanCheckInterval || len(n.DataCentres) < 2 {
		return
	}
	l.checkedAt = now
	hadLoans := l.borrower.HasLoans()
	l.borrower.Sweep(n.logTime(now))
	n.retryLoanRequests(now)
	for _, c := range n.lists.Customers {
		n.manageCustomerLoans(c.Name, now)
	}
	if hadLoans { // without loans, the shares don't change with time
		n.setShares(now)
	}
}

func (n *Member) manageCustomerLoans(customer string, now time.Time) {
	l := &n.primary.loans
	u := n.primary.placer.Usage(customer, now)
	if want := shortage(u); want.Total() > 0 {
		l.shortAt[customer] = now
		n.borrow(customer, want, u.Queued, now)
		return
	}
	if now.Sub(l.shortAt[customer]) < idleBeforeReturn || !l.borrower.HasLoans() {
		return
	}
	n.returnLoans(customer, u, now)
}

// shortage returns how much quota a customer lacks for its queued tasks.
func shortage(u place.UsageReport) quota.Limits {
	var want quota.Limits
	if u.Queued == 0 {
		return want
	}
	if u.Running >= u.MaxRunning {
		want.MaxRunning = u.Queued
	}
	if u.RecentStarts >= u.StartsPerSecond {
		want.StartsPerSecond = u.Queued
	}
	return want
}

// borrow sends a loan request to the data centre that probably has the most spare quota, unless a
// request for the customer is pending.
func (n *Member) borrow(customer string, want quota.Limits, waiting int, now time.Time) {
	l := &n.primary.loans
	if l.borrower.HasPending(customer) {
		return
	}
	lender, amount, ok := quota.ChooseLender(want, waiting, n.spares(customer, now))
	if !ok {
		return
	}
	l.lastRequest++
	r := quota.Request{
		ID:       fmt.Sprintf("%s/%x/%x/%d", n.Self.DataCentre, n.primary.generation, n.primary.view, l.lastRequest),
		Customer: customer,
		Lender:   lender,
		Borrower: n.Self.DataCentre,
		Want:     amount,
		SentAt:   n.logTime(now),
	}
	if host := n.nextHostIn(lender); host != "" {
		l.borrower.AddRequest(r)
		_ = n.Send(host, msgs.ServiceGroup, msgs.LoanAsk{Request: r, Host: n.Self.Name})
	}
}

// retryLoanRequests sends unanswered loan requests again.
func (n *Member) retryLoanRequests(now time.Time) {
	l := &n.primary.loans
	if now.Sub(l.retriedAt) < retryInterval {
		return
	}
	l.retriedAt = now
	for _, r := range l.borrower.PendingRequests() {
		host := n.nextHostIn(r.Lender)
		if host != "" && n.logTime(now)-r.SentAt > int64(retryInterval) {
			_ = n.Send(host, msgs.ServiceGroup, msgs.LoanAsk{Request: r, Host: n.Self.Name})
		}
	}
}

// spares returns the spare quota of the other data centres for a customer. For a data centre
// without a recent report it assumes the entire share.
func (n *Member) spares(customer string, now time.Time) []quota.Spare {
	limits, _ := n.limitsOf(customer)
	var list []quota.Spare
	for _, dc := range n.DataCentres {
		if dc == n.Self.DataCentre {
			continue
		}
		available := quota.Share(customer, limits, n.DataCentres, dc)
		if s, ok := n.primary.loans.spares[spareKey{customer, dc}]; ok && now.Sub(s.reportedAt) < spareValidity {
			available = s.limits
		}
		list = append(list, quota.Spare{DataCentre: dc, Limits: available})
	}
	return list
}

// nextHostIn returns a host of a data centre, in round-robin order, or "" if it has none.
func (n *Member) nextHostIn(dataCentre string) string {
	var hosts []string
	for _, h := range n.Hosts {
		if h.DataCentre == dataCentre {
			hosts = append(hosts, h.Name)
		}
	}
	if len(hosts) == 0 {
		return ""
	}
	n.nextHost++
	return hosts[n.nextHost%len(hosts)]
}

// handleLoanAsk lends spare quota of this data centre.
func (n *Member) handleLoanAsk(m msgs.LoanAsk, now time.Time) {
	r := m.Request
	limits, _ := n.limitsOf(r.Customer)
	share := n.ledger.Share(r.Customer, limits)
	u := n.primary.placer.Usage(r.Customer, now)
	inUse := quota.Limits{MaxRunning: u.Running + u.Queued, StartsPerSecond: u.RecentStarts + u.Queued}
	inUse = inUse.Plus(n.withheld(r.Customer, limits))
	lent := n.ledger.Lent(r.Customer, share).Plus(n.primary.loans.reserved[r.Customer])
	amount := quota.LoanAmount(r.Want, share, lent, inUse)
	if amount.Total() == 0 || !n.primary.placer.Ready(now) {
		n.sendLoanDone(m, quota.Loan{}, share.Minus(lent).Minus(inUse))
		return
	}
	n.reserveForLoan(r.Customer, amount, now)
	loan := quota.Loan{ID: r.ID, Customer: r.Customer, Lender: n.Self.DataCentre, Borrower: r.Borrower, Amount: amount}
	n.enqueueQuota(quota.Command{Kind: quota.KindLend, Loan: loan, Share: share}, func(res quota.Result) {
		n.releaseReserved(r.Customer, amount)
		n.sendLoanDone(m, res.Loan, share.Minus(lent).Minus(inUse).Minus(amount))
	})
}

// reserveForLoan excludes an amount from this data centre's use while its loan has not committed.
func (n *Member) reserveForLoan(customer string, amount quota.Limits, now time.Time) {
	l := &n.primary.loans
	l.reserved[customer] = l.reserved[customer].Plus(amount)
	n.setShares(now)
}

func (n *Member) releaseReserved(customer string, amount quota.Limits) {
	l := &n.primary.loans
	l.reserved[customer] = l.reserved[customer].Minus(amount)
	n.setShares(n.Now())
}

func (n *Member) sendLoanDone(m msgs.LoanAsk, loan quota.Loan, remaining quota.Limits) {
	_ = n.Send(m.Host, msgs.ServiceGroup, msgs.LoanDone{
		ID:     m.Request.ID,
		Lent:   loan.ID != "",
		Loan:   loan,
		Lender: n.Self.DataCentre,
		Spare:  remaining,
	})
}

// handleLoanDone starts to use a loan, or removes the request if it was refused.
func (n *Member) handleLoanDone(m msgs.LoanDone, now time.Time) {
	l := &n.primary.loans
	for _, r := range l.borrower.PendingRequests() {
		if r.ID == m.ID {
			l.spares[spareKey{r.Customer, m.Lender}] = spare{limits: m.Spare, reportedAt: now}
		}
	}
	if !m.Lent {
		l.borrower.RemoveRequest(m.ID)
		return
	}
	if l.borrower.Accept(m.Loan) {
		n.setShares(now)
	}
}

// returnLoans returns the loans that a customer no longer needs.
func (n *Member) returnLoans(customer string, u place.UsageReport, now time.Time) {
	limits, _ := n.limitsOf(customer)
	inUse := quota.Limits{MaxRunning: u.Running, StartsPerSecond: u.RecentStarts}
	for _, loan := range n.primary.loans.borrower.ReleaseSurplus(customer, n.ownLimits(customer, limits), inUse, n.logTime(now)) {
		if host := n.nextHostIn(loan.Lender); host != "" {
			_ = n.Send(host, msgs.ServiceGroup, msgs.LoanReturn{Loan: loan})
		}
	}
}

func (n *Member) handleLoanReturn(m msgs.LoanReturn) {
	c := quota.Command{Kind: quota.KindReturn, Loan: m.Loan}
	n.enqueueQuota(c, func(quota.Result) { n.setShares(n.Now()) })
}

// forwardToPrimary forwards a message about a loan to the primary if that is another host.
func (n *Member) forwardToPrimary(m any) {
	primary := n.primaryOf(n.replica.Status(n.Now()))
	if primary != "" && primary != n.Self.Name {
		_ = n.Send(primary, msgs.ServiceGroup, m)
	}
}
