package quota

// Request asks a data centre for a part of its share.
type Request struct {
	ID       string // unique; a resent request has the same
	Customer string
	Lender   string
	Borrower string
	Want     Limits
	SentAt   int64 // borrower's clock when it was sent first; the lender doesn't use it
}

// Loan is a part of the lender's share that the borrower may use.
type Loan struct {
	ID       string
	Customer string
	Lender   string
	Borrower string
	Amount   Limits
}

// Offer returns how much a lender gives: at most half of its spare, and in all
// loans together at most half of its share. The lender keeps the amount unused
// from now on and proposes KindLend with it.
func LoanAmount(want, share, lent, inUse Limits) Limits {
	spare := share.Minus(lent).Minus(inUse)
	room := share.Half().Minus(lent)
	return want.Min(spare.Half()).Min(room)
}

// Spare is what a data centre has last reported to have unused.
type Spare struct {
	DataCentre string
	Limits     Limits
}

// Lender picks the data centre to borrow from, and how much to ask for: the one
// with the most spare of what is wanted, and at most half of it. It picks none
// when no task is waiting or no data centre has spare.
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
