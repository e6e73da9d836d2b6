package body

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/wire"
)

// TestBody decodes a request body with Bind and encodes the response with Write.
func TestBody(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int
		want   string // part of the response
	}{
		"read":          {text: `{"Name": "b1", "Slots": 0}`, status: http.StatusAccepted, want: "{\"Name\":\"b1\"}\n"},
		"unknown field": {text: `{"Nam": "b1"}`, status: http.StatusBadRequest, want: "field Nam"},
		"no JSON":       {text: "b1", status: http.StatusBadRequest, want: "line 1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := echo.New()
			e.POST("/", func(c echo.Context) error {
				var m wire.Announce
				if err := Bind(c, &m); err != nil {
					return err
				}
				return Write(c, http.StatusAccepted, &m)
			})
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.text)))
			if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.want) {
				t.Errorf("got %d %s", w.Code, w.Body)
			}
		})
	}
}
