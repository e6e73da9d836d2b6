package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"dogwoodrock.example/dogwoodrock/wire"
)

// List returns the active text of a list, or its text at the given version if that is above 0.
func (c *Client) List(ctx context.Context, list string, version uint64) (*wire.ListText, error) {
	path := listPath(list)
	if version > 0 {
		path += fmt.Sprintf("?Version=%d", version)
	}
	answer := new(wire.ListText)
	return answer, c.get(ctx, path, 0, answer)
}

// PutList replaces a list and returns the version that the edit created. A retry with the same
// EditID gets the first answer, so with an EditID it may be retried on every host. The error is a
// model.RefusalError with code Conflict if the list changed after the base version.
func (c *Client) PutList(ctx context.Context, list string, edit *wire.PutList) (uint64, error) {
	answer := new(wire.PutListAnswer)
	put := call{method: http.MethodPut, path: listPath(list), body: edit, retry: retryUnsent, timeout: c.Timeout}
	if edit.EditID != "" {
		put.retry = retryAlways
	}
	if err := c.run(ctx, put, answer); err != nil {
		return 0, err
	}
	if answer.Refusal != nil {
		return answer.Version, RefusalOf(answer.Refusal)
	}
	return answer.Version, nil
}

// History returns the latest changes of the lists with their operators, newest first.
func (c *Client) History(ctx context.Context) (*wire.ListHistory, error) {
	answer := new(wire.ListHistory)
	return answer, c.get(ctx, "/v1/lists/history", 0, answer)
}

// Explain returns a customer's limits and current use.
func (c *Client) Explain(ctx context.Context, customer string) (*wire.Explain, error) {
	answer := new(wire.Explain)
	return answer, c.get(ctx, "/v1/customers/"+url.PathEscape(customer)+"/explain", 0, answer)
}

// Status returns the state of the system as one entry host sees it.
func (c *Client) Status(ctx context.Context) (*wire.Status, error) {
	answer := new(wire.Status)
	return answer, c.get(ctx, "/v1/status", 0, answer)
}

// HostReport returns the state of one host in a system with a core. The hosts of the client must be
// operator addresses.
func (c *Client) HostReport(ctx context.Context) (*wire.HostReport, error) {
	answer := new(wire.HostReport)
	return answer, c.get(ctx, "/v1/host", 0, answer)
}

func listPath(list string) string {
	return "/v1/lists/" + url.PathEscape(list)
}
