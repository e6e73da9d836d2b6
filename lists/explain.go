package lists

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
)

// Explanation names the lines of the lists that define a customer's limits.
type Explanation struct {
	Customer     string
	CustomerLine int
	Plan         model.Plan
	PlanLine     int
	Version      uint64
}

// Explain looks up a customer in the active lists. It returns a
// model.RefusalError for a customer that isn't listed.
func Explain(a *Active, customer string) (Explanation, error) {
	plan, ok := a.Plan(customer)
	if !ok {
		return Explanation{}, &model.RefusalError{
			Code:   model.CodeUnknownCustomer,
			Reason: fmt.Sprintf("version %d of the list of customers doesn't name %.100q", a.Update.Version, customer),
			Field:  "Customer",
			NotRun: true,
		}
	}
	return Explanation{
		Customer:     customer,
		CustomerLine: a.Parsed.CustomerLines[customer],
		Plan:         plan,
		PlanLine:     a.Parsed.PlanLines[plan.Name],
		Version:      a.Update.Version,
	}, nil
}
