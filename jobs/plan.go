package jobs

import (
	"fmt"
	"slices"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
)

// checkPlan refuses a job that the active lists don't allow, without asking the primary. The
// refusal names the line of the list.
func (r *Runner) checkPlan(sub model.Submission) *model.RefusalError {
	if r.lists.Update.Version == 0 {
		return r.retryableRefusal(sub, model.CodeUnavailable, "no lists are in force on this entry host yet")
	}
	plan, ok := r.lists.Plan(sub.Customer)
	if !ok {
		reason := fmt.Sprintf("version %d of the list of customers does not name %.100q", r.lists.Update.Version, sub.Customer)
		return &model.RefusalError{Code: model.CodeUnknownCustomer, Field: "Customer", Reason: reason}
	}
	line := r.lists.Parsed.PlanLines[plan.Name]
	if len(sub.Tasks) > plan.MaxJobTasks {
		reason := fmt.Sprintf("the job has %d tasks; plan %s (line %d of the list of plans) allows %d", len(sub.Tasks), plan.Name, line, plan.MaxJobTasks)
		return &model.RefusalError{Code: model.CodeJobTooLarge, Field: "Tasks", Reason: reason}
	}
	for i, t := range sub.Tasks {
		if !slices.Contains(plan.Services, t.Service) {
			reason := fmt.Sprintf("service %.100q is not among the Services of plan %s (line %d of the list of plans)", t.Service, plan.Name, line)
			return &model.RefusalError{Code: model.CodeServiceNotInPlan, Field: fmt.Sprintf("Tasks[%d].Service", i), Reason: reason}
		}
	}
	return nil
}

// homeDataCentre returns the home data centre of a key: that of its session, or one derived from the
// key. It is empty without a key, since the job may then run in any data centre.
func (r *Runner) homeDataCentre(session, customer, key string) (string, *model.RefusalError) {
	if session == "" {
		if key == "" {
			return "", nil
		}
		return claim.Home(r.DataCentres, customer, key), nil
	}
	name, err := claim.ParseSession(session)
	if err != nil || !r.hasDataCentre(name.DataCentre) {
		return "", &model.RefusalError{Code: model.CodeSessionUnknown, Field: "Session", Reason: "is not the name of a session of this system"}
	}
	return name.DataCentre, nil
}
