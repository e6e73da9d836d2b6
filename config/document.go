package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

const (
	maxLineBytes = 1024 // longest line of a YAML text
	maxLines     = 100_000
	maxErrors    = 100 // errors reported for one text
)

// Position is a place in a YAML text. Line and column start at 1.
type Position struct {
	Line   int
	Column int
}

// Document is a YAML text that decodes into plain structs by field name. It collects all errors
// with their positions, up to a limit, instead of stopping at the first. It rejects anchors,
// aliases, tags and merge keys.
type Document struct {
	Name   string
	Errors FieldErrors

	root      ast.Node
	positions map[string]Position
}

// ParseDocument parses a text of at most maxBytes bytes. Errors in it are added to the document's
// Errors.
func ParseDocument(name string, text []byte, maxBytes int) *Document {
	d := &Document{Name: name, positions: map[string]Position{}}
	if !d.checkText(text, maxBytes) {
		return d
	}
	d.parse(string(text))
	return d
}

// Position returns the position of a field by its path. If the text doesn't name the field, it
// returns the position of the nearest enclosing field.
func (d *Document) Position(path string) Position {
	for path != "" {
		if pos, ok := d.positions[path]; ok {
			return pos
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return Position{Line: 1, Column: 1}
}

// Has reports whether the text names the field.
func (d *Document) Has(path string) bool {
	_, ok := d.positions[path]
	return ok
}

// Fail adds an error at the position of a field.
func (d *Document) Fail(path, reason string, args ...any) {
	d.failAt(d.Position(path), path, reason, args...)
}

// Err returns the errors as FieldErrors in the order of their positions, or nil if there are
// none.
func (d *Document) Err() error {
	if len(d.Errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.Errors, func(a, b *FieldError) int {
		return cmp.Or(a.Line-b.Line, a.Column-b.Column, strings.Compare(a.Field, b.Field))
	})
	return d.Errors
}

func (d *Document) failAt(pos Position, path, reason string, args ...any) {
	if len(d.Errors) >= maxErrors {
		return
	}
	d.Errors = append(d.Errors, &FieldError{
		File: d.Name, Line: pos.Line, Column: pos.Column, Field: path, Reason: fmt.Sprintf(reason, args...),
	})
}

// checkText rejects texts that must not reach the parser: those that are too long, aren't valid
// UTF-8 or hold control characters. It returns false if the text has errors.
func (d *Document) checkText(text []byte, maxBytes int) bool {
	if len(text) > maxBytes {
		d.failAt(Position{}, "", "has %d bytes, more than the %d allowed", len(text), maxBytes)
		return false
	}
	line := 0
	for content := range bytes.Lines(text) {
		line++
		pos := Position{Line: line, Column: 1}
		switch {
		case line > maxLines:
			d.failAt(pos, "", "text has more than %d lines", maxLines)
			return false
		case len(content) > maxLineBytes:
			d.failAt(pos, "", "line has more than %d bytes", maxLineBytes)
		case !utf8.Valid(content):
			d.failAt(pos, "", "line is not valid UTF-8")
		case bytes.ContainsFunc(content, isControl):
			d.failAt(pos, "", "line holds a control character")
		}
	}
	return len(d.Errors) == 0
}

func isControl(r rune) bool {
	return r < ' ' && r != '\t' && r != '\n' && r != '\r'
}

func (d *Document) parse(text string) {
	defer func() {
		if recover() != nil { // the YAML library panics on some invalid texts
			d.failAt(Position{}, "", "text is not valid YAML")
		}
	}()
	tokens := lexer.Tokenize(text)
	if !d.checkTokens(tokens) {
		return
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.failSyntax(err)
		return
	}
	if len(file.Docs) > 1 {
		d.failAt(Position{Line: 1, Column: 1}, "", "text holds %d YAML documents instead of one", len(file.Docs))
		return
	}
	if len(file.Docs) == 1 {
		d.root = file.Docs[0].Body
	}
}

func (d *Document) failSyntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		d.failAt(positionOf(syntax.Token), "", "not valid YAML: %s", syntax.Message)
		return
	}
	d.failAt(Position{Line: 1, Column: 1}, "", "not valid YAML: %v", err)
}
