package opcmd

import (
	"errors"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/model"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the request was refused, the job failed, or a check has only warnings
	ExitUsage       = 2 // invalid arguments, a file that can't be used, or a check has errors
	ExitConflict    = 3 // the list changed after the base version
	ExitUnknown     = 4 // the request may or may not have taken effect
	ExitUnreachable = 5 // no entry host answered, and nothing took effect
)

// exitCodeHelp is the program's description on the help page. It explains the exit codes.
const exitCodeHelp = `Reads and edits the lists of customers and plans, and hands in jobs.

Exit codes: 0 done; 1 refused, the job failed, or a check has only warnings; 2 wrong arguments or file, or a check has errors; 3 conflict with another edit; 4 outcome unknown; 5 no entry host reachable.`

// exitCode maps the error of a command to an exit code.
func exitCode(err error) int {
	var refusal *model.RefusalError
	var unreachable *client.UnreachableError
	var readOnly *ReadOnlyError
	var check *CheckError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &check) && check.Errors == 0:
		return ExitRefused
	case errors.As(err, &readOnly) && errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &refusal):
		return refusalExit(refusal)
	case errors.As(err, &unreachable):
		return unreachableExit(unreachable)
	}
	return ExitUsage
}

func refusalExit(r *model.RefusalError) int {
	switch {
	case r.Code == model.CodeConflict:
		return ExitConflict
	case isOutcomeUnknown(r):
		return ExitUnknown
	}
	return ExitRefused
}

func unreachableExit(e *client.UnreachableError) int {
	if e.Sent {
		return ExitUnknown
	}
	return ExitUnreachable
}

// isOutcomeUnknown reports whether the refused request may still take effect.
func isOutcomeUnknown(r *model.RefusalError) bool {
	if r.NotRun {
		return false
	}
	switch r.Code {
	case model.CodeOutcomeUnknown, model.CodeHostLost, model.CodeDeadlinePassed, model.CodeUnavailable,
		model.CodeOverloaded, model.CodeStopping, model.CodeQueueFull, model.CodeQuotaExhausted:
		return true
	}
	return false
}
