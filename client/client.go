package client

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	defaultTimeout        = 10 * time.Second
	dialTimeout           = time.Second
	defaultMaxAnswerBytes = 128 << 20
	maxIdlePerHost        = 16 // connections kept open to one entry host
)

// Client calls the entry hosts of one system. It is safe for concurrent use.
type Client struct {
	Hosts          []string // IP:port of each entry host, in the order in which they are tried
	Timeout        time.Duration
	MaxAnswerBytes int64 // maximum size of a response body
	Do             func(r *http.Request) (*http.Response, error)

	preferred atomic.Int64 // index of the last host that answered
}

// Option configures a Client in New.
type Option func(*Client)

// WithTimeout sets how long one host may take to answer, in addition to the waiting time in the
// request itself.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.Timeout = timeout }
}

// WithMaxAnswerBytes sets the maximum size of a response body.
func WithMaxAnswerBytes(n int64) Option {
	return func(c *Client) { c.MaxAnswerBytes = n }
}

// WithDo sets the function that sends an HTTP request.
func WithDo(do func(r *http.Request) (*http.Response, error)) Option {
	return func(c *Client) { c.Do = do }
}

// New returns a client of these entry hosts. It returns an OptionError if there
// are none or one has no port.
func New(hosts []string, opts ...Option) (*Client, error) {
	c := &Client{
		Hosts:          hosts,
		Timeout:        defaultTimeout,
		MaxAnswerBytes: defaultMaxAnswerBytes,
		Do:             newHTTPClient().Do,
	}
	for _, opt := range opts {
		opt(c)
	}
	if len(hosts) == 0 {
		return nil, &OptionError{Field: "Hosts", Reason: "names no entry host"}
	}
	for _, host := range hosts {
		if _, port, err := net.SplitHostPort(host); err != nil || port == "" {
			return nil, &OptionError{Field: "Hosts", Reason: host + " is not an address and port such as 127.0.0.1:8080"}
		}
	}
	return c, nil
}

// newHTTPClient returns an HTTP client without proxy that follows no redirects, since entry hosts
// send none.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
