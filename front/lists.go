package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/keeper"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// listOf returns the name of the list in the path of a request.
func listOf(c echo.Context) (string, error) {
	switch name := c.Param("list"); name {
	case lists.Customers, lists.Plans:
		return name, nil
	default:
		return "", &model.RefusalError{
			Code: model.CodeNotFound, Field: "List",
			Reason: "there are two lists, " + lists.Customers + " and " + lists.Plans, NotRun: true,
		}
	}
}

func (f *Front) getList(c echo.Context) error {
	name, err := listOf(c)
	if err != nil {
		return f.fail(c, err)
	}
	report, err := f.inspectLists(c)
	if err != nil {
		return f.fail(c, err)
	}
	u := report.Active.Update
	if text := c.QueryParam("Version"); text != "" {
		return f.listAtVersion(c, name, text, u.Version)
	}
	return answer(c, http.StatusOK, &wire.ListText{
		List: name, Version: u.Text(name).Changed, InForce: u.Version, Text: u.Text(name).Content,
	})
}

func (f *Front) listAtVersion(c echo.Context, name, text string, active uint64) error {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return f.fail(c, &model.RefusalError{Code: model.CodeBadRequest, Field: "Version", Reason: "is not a number", NotRun: true})
	}
	done, err := f.askLists(c, msgs.ListsAsk{Kind: msgs.ListsText, List: name, Version: version})
	if err != nil {
		return f.fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.ListText{List: name, Version: done.Version, InForce: active, Text: done.Text})
}

func (f *Front) putList(c echo.Context) error {
	name, err := listOf(c)
	if err != nil {
		return f.fail(c, err)
	}
	var body wire.PutList
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	if len(body.GetText()) > f.Limits.ListBytes {
		reason := fmt.Sprintf("is longer than %d bytes", f.Limits.ListBytes)
		return f.fail(c, &model.RefusalError{Code: model.CodeTooLarge, Field: "Text", Reason: reason, NotRun: true})
	}
	done, err := f.askLists(c, msgs.ListsAsk{
		Kind:        msgs.ListsPut,
		List:        name,
		BaseVersion: body.GetBaseVersion(),
		EditID:      body.GetEditID(),
		Operator:    body.GetOperator(),
		Text:        body.GetText(),
	})
	if err != nil {
		return f.fail(c, err)
	}
	return answer(c, http.StatusOK, &wire.PutListAnswer{Version: done.Version})
}

func (f *Front) history(c echo.Context) error {
	done, err := f.askLists(c, msgs.ListsAsk{Kind: msgs.ListsHistory})
	if err != nil {
		return f.fail(c, err)
	}
	h := &wire.ListHistory{}
	for _, change := range done.Changes {
		h.Changes = append(h.Changes, &wire.ListChange{
			Version:  change.Version,
			List:     change.List,
			EditID:   change.EditID,
			Operator: change.Operator,
			At:       change.At.UTC().Format(time.RFC3339),
		})
	}
	return answer(c, http.StatusOK, h)
}

// askLists sends a request to the lists group. It returns a refusal as the error.
func (f *Front) askLists(c echo.Context, m msgs.ListsAsk) (msgs.ListsDone, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), bodyTimeout)
	defer cancel()
	done, err := kernel.Ask(ctx, f.lists, func(reply func(msgs.ListsDone)) any {
		return keeper.Request{Ask: m, Reply: reply}
	})
	if err != nil {
		return done, err
	}
	if done.Refusal != nil {
		return done, done.Refusal
	}
	return done, nil
}

func (f *Front) inspectLists(c echo.Context) (keeper.Report, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), bodyTimeout)
	defer cancel()
	return kernel.Ask(ctx, f.lists, func(reply func(keeper.Report)) any {
		return keeper.Inspect{Reply: reply}
	})
}
