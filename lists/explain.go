package lists

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
)

// Explanation says which lines of the lists decide what a customer may use.
type Explanation struct {
	Customer     string
	CustomerLine int
	Plan         model.Plan
	PlanLine     int
	Version      uint64
}

// Explain looks a customer up. It returns a model.RefusalError for one that the
// list of customers doesn't name.
func Explain(f *Active, customer string) (Explanation, error) {
	plan, ok := f.Plan(customer)
	if !ok {
		return Explanation{}, &model.RefusalError{
			Code:   model.CodeUnknownCustomer,
			Reason: fmt.Sprintf("version %d of the list of customers doesn't name %q", f.Update.Version, customer),
			Field:  "Customer",
			NotRun: true,
		}
	}
	return Explanation{
		Customer:     customer,
		CustomerLine: f.Parsed.CustomerLines[customer],
		Plan:         plan,
		PlanLine:     f.Parsed.PlanLines[plan.Name],
		Version:      f.Update.Version,
	}, nil
}
