package opcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/platform"
	"dogwoodrock.example/dogwoodrock/routes"
)

const (
	inForceTimeout   = 10 * time.Second // for a document of the maximum size
	maxDocumentBytes = 64 << 20         // of a routes document, the limit of the control address
)

// documentReport is the result of a check as JSON.
type documentReport struct {
	File     string
	Findings []platform.Finding
}

// checkDocument prints all findings about a routes document. It returns a CheckError if there are errors or
// warnings.
func (a *App) checkDocument(ctx context.Context, o *Options) error {
	c := &o.CheckDocument
	source, err := readDocument(c.Args.File)
	if err != nil {
		return err
	}
	inForce, from, err := a.documentInForce(ctx, c)
	if err != nil {
		return err
	}
	findings, err := a.CheckDocument(source, inForce)
	if err != nil {
		return fileError(from, err)
	}
	if err := a.printFindings(o.JSON, c.Args.File, findings); err != nil {
		return err
	}
	result := &CheckError{}
	for _, f := range findings {
		switch f.Severity {
		case routes.SeverityError:
			result.Errors++
		case routes.SeverityWarning:
			result.Warnings++
		}
	}
	if result.Errors+result.Warnings == 0 {
		return nil
	}
	return result
}

func (a *App) printFindings(asJSON bool, file string, findings []platform.Finding) error {
	var b bytes.Buffer
	if asJSON {
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		if err := e.Encode(documentReport{File: file, Findings: append([]platform.Finding{}, findings...)}); err != nil {
			return err
		}
	}
	for _, f := range findings {
		if asJSON {
			break
		}
		place := file
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", file, f.Line)
		}
		if f.Field != "" {
			place += ": " + f.Field
		}
		fmt.Fprintf(&b, "%s: %s: %s\n", place, f.Severity, f.Reason)
	}
	_, err := a.Stdout.Write(b.Bytes())
	return err
}

// documentInForce returns the document in force and where it is from, nil if the options name no source.
func (a *App) documentInForce(ctx context.Context, c *CheckOptions) (source []byte, from string, err error) {
	switch {
	case c.Against != "" && c.AgainstFile != "":
		return nil, "", &UsageError{Reason: "--against and --against-file exclude each other"}
	case c.AgainstFile != "":
		source, err = readDocument(c.AgainstFile)
		return source, c.AgainstFile, err
	case c.Against == "":
		return nil, "", nil
	}
	caller, err := a.NewClient([]string{c.Against})
	if err != nil {
		return nil, "", &UsageError{Reason: err.Error()}
	}
	source, err = fetchDocument(ctx, c.Against, caller.Do)
	var attempt *client.AttemptError
	if errors.As(err, &attempt) {
		err = &ReadOnlyError{Cause: &client.UnreachableError{Tried: []*client.AttemptError{attempt}}}
	}
	return source, c.Against, err
}

// fetchDocument requests the document in force from a control address and follows its redirects to the
// leader of the core. Errors are client.AttemptErrors.
func fetchDocument(ctx context.Context, host string, do func(r *http.Request) (*http.Response, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	target := "http://" + host + "/config"
	for range maxRedirects + 1 {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return nil, &client.AttemptError{Host: host, Cause: err}
		}
		resp, err := do(req)
		if err != nil {
			var op *net.OpError
			return nil, &client.AttemptError{Host: host, Sent: !errors.As(err, &op) || op.Op != "dial", Cause: err}
		}
		body, err := readLimited(resp.Body)
		_ = resp.Body.Close() // nothing more is read
		location, locationErr := resp.Location()
		switch {
		case err != nil:
			return nil, &client.AttemptError{Host: host, Sent: true, Cause: err}
		case resp.StatusCode == http.StatusOK:
			return body, nil
		case resp.StatusCode == http.StatusTemporaryRedirect && locationErr == nil:
			target = location.String()
		default:
			return nil, &client.AttemptError{Host: host, Sent: true, Cause: &client.AnswerError{Status: resp.StatusCode, Reason: http.StatusText(resp.StatusCode)}}
		}
	}
	return nil, &client.AttemptError{Host: host, Sent: true, Cause: errors.New("too many redirects")}
}

func readDocument(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fileError(file, err)
	}
	defer func() { _ = f.Close() }() // only read
	source, err := readLimited(f)
	if err != nil {
		return nil, fileError(file, err)
	}
	return source, nil
}

// readLimited reads a document of at most maxDocumentBytes.
func readLimited(r io.Reader) ([]byte, error) {
	source, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(source) > maxDocumentBytes {
		err = fmt.Errorf("has more than %d bytes", maxDocumentBytes)
	}
	return source, err
}
