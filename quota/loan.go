package quota

// Request is a request for a loan from another data centre.
type Request struct {
	ID       string // unique; a retry has the same ID
	Customer string
	Lender   string
	Borrower string
	Want     Limits
	SentAt   int64 // borrower's clock in Unix nanoseconds when first sent; the lender doesn't use it
}

// Loan is a part of the lender's share that the borrower may use until the loan expires.
type Loan struct {
	ID       string
	Customer string
	Lender   string
	Borrower string
	Amount   Limits
}

// LoanAmount returns how much a lender may lend: at most half of what it has unused, and at most
// half of its share over all loans. The lender must leave the amount unused from now on and propose
// it with KindLend.
func LoanAmount(want, share, lent, inUse Limits) Limits {
	spare := share.Minus(lent).Minus(inUse)
	room := share.Half().Minus(lent)
	return want.Min(spare.Half()).Min(room)
}

// Spare is the unused quota that a data centre has last reported.
type Spare struct {
	DataCentre string
	Limits     Limits
}

// ChooseLender returns the data centre with the most unused quota of the wanted kinds, and the
// amount to request, at most half of its unused quota. It returns false if no task is waiting or no
// data centre has unused quota.
func ChooseLender(want Limits, waiting int, spares []Spare) (dataCentre string, ask Limits, ok bool) {
	if waiting <= 0 {
		return "", Limits{}, false
	}
	most := 0
	for _, s := range spares {
		total := s.Limits.MaskedBy(want).Total()
		if total > most || (total == most && total > 0 && s.DataCentre < dataCentre) {
			most, dataCentre = total, s.DataCentre
			ask = want.Min(s.Limits.Half())
		}
	}
	return dataCentre, ask, most > 0
}
