// Package quota divides the limits of a customer's plan among the data centres and transfers unused
// parts between them as loans.
//
// A customer's limit holds across all data centres, even during a network partition between them.
// Each data centre therefore has a fixed share, which it uses without coordination. A data centre
// that needs more borrows from one with unused quota: the lender records the loan in its [Ledger],
// which its replication group replicates, before the borrower adds it to its [Borrower]. The lender
// uses the lent part again only after the loan was returned, or after the borrower has certainly
// stopped using it.
//
// Each side of a loan uses its own clock, and the clocks are never compared. The borrower counts
// from when it sent the request and stops Margin before LoanTime; the lender counts from when it
// recorded the loan, which is later, and waits until Margin after LoanTime. The clocks may differ
// by any offset, and the rate of each may be wrong by up to Margin / LoanTime.
//
// Within a data centre, each host has a reserve, a part of the share that it uses while it serves
// alone, that is, without a lease from the primary. The primary uses the reserve while it has the
// host's promise not to serve alone, recorded in [Promises]; [Alone] makes the host wait until
// nothing that the primary started on the reserve under the promise can still be running.
package quota
