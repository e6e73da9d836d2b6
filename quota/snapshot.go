package quota

import "slices"

// Snapshot is the complete state of a Ledger in plain structs.
type Snapshot struct {
	Settings    Settings
	Own         string
	Now         int64
	Begun       bool
	DataCentres []string
	Previous    [][]string
	SettledAt   int64
	BlindUntil  int64
	Loans       []LoanOut // in the order of ReuseAt
}

// Snapshot returns the state of the Ledger.
func (l *Ledger) Snapshot() Snapshot {
	return Snapshot{
		Settings:    l.cfg,
		Own:         l.own,
		Now:         l.now,
		Begun:       l.begun,
		DataCentres: slices.Clone(l.dataCentres),
		Previous:    slices.Clone(l.previous),
		SettledAt:   l.settledAt,
		BlindUntil:  l.blindUntil,
		Loans:       slices.Clone(l.loans),
	}
}

// Restore returns a Ledger in the state of a Snapshot.
func Restore(s Snapshot) *Ledger {
	l := &Ledger{
		cfg:         s.Settings,
		own:         s.Own,
		now:         s.Now,
		begun:       s.Begun,
		dataCentres: slices.Clone(s.DataCentres),
		previous:    slices.Clone(s.Previous),
		settledAt:   s.SettledAt,
		blindUntil:  s.BlindUntil,
		loans:       slices.Clone(s.Loans),
		lent:        make(map[string]Limits),
	}
	for _, o := range l.loans {
		l.lent[o.Customer] = l.lent[o.Customer].Plus(o.Amount)
	}
	return l
}
