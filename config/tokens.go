package config

import "github.com/goccy/go-yaml/token"

const (
	maxFlowDepth = 4    // nesting depth of brackets and braces
	maxBlockKeys = 100  // keys of one block mapping
	maxFlowKeys  = 1000 // keys inside one pair of outermost brackets or braces
)

// tokenCheck limits the input of the YAML library's parser, whose run time grows with the
// square of the number of keys in one mapping.
type tokenCheck struct {
	doc          *Document
	depth        int
	flowKeys     int
	lastDashLine int            // line of the last dash of a block sequence
	mappings     []blockMapping // that enclose the current token, outermost first
}

type blockMapping struct{ column, keys int }

// checkTokens rejects texts that nest too deeply or that expand when they are decoded. It returns
// false after the first error.
func (d *Document) checkTokens(tokens token.Tokens) bool {
	c := tokenCheck{doc: d}
	for _, tk := range tokens {
		if !c.check(tk) {
			return false
		}
	}
	return true
}

func (c *tokenCheck) check(tk *token.Token) bool {
	switch tk.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.DirectiveType, token.MappingKeyType:
		return c.fail(tk, "%q is not allowed: anchors, aliases, tags, merge keys, directives and complex keys are refused", tk.Value)
	case token.SequenceStartType, token.MappingStartType:
		c.depth++
	case token.SequenceEndType, token.MappingEndType:
		c.depth--
		if c.depth <= 0 {
			c.flowKeys = 0
		}
	case token.MappingValueType:
		return c.checkKey(tk)
	case token.SequenceEntryType:
		return c.checkEntry(tk)
	}
	if c.depth > maxFlowDepth {
		return c.fail(tk, "brackets nest deeper than %d", maxFlowDepth)
	}
	return true
}

func (c *tokenCheck) checkEntry(tk *token.Token) bool {
	pos := positionOf(tk)
	if pos.Line == c.lastDashLine {
		return c.fail(tk, "a list directly inside a list is not allowed")
	}
	c.lastDashLine = pos.Line
	c.popDeeper(pos.Column)
	return true
}

func (c *tokenCheck) checkKey(tk *token.Token) bool {
	if c.depth > 0 {
		c.flowKeys++
		if c.flowKeys > maxFlowKeys {
			return c.fail(tk, "more than %d keys inside brackets", maxFlowKeys)
		}
		return true
	}
	column := positionOf(tk.Prev).Column
	c.popDeeper(column)
	if n := len(c.mappings); n == 0 || c.mappings[n-1].column < column {
		c.mappings = append(c.mappings, blockMapping{column: column})
	}
	last := &c.mappings[len(c.mappings)-1]
	last.keys++
	if last.keys > maxBlockKeys {
		return c.fail(tk, "a mapping has more than %d keys", maxBlockKeys)
	}
	return true
}

// popDeeper removes the mappings that are indented deeper than a column.
func (c *tokenCheck) popDeeper(column int) {
	for n := len(c.mappings); n > 0 && c.mappings[n-1].column > column; n-- {
		c.mappings = c.mappings[:n-1]
	}
}

func (c *tokenCheck) fail(tk *token.Token, reason string, args ...any) bool {
	c.doc.failAt(positionOf(tk), "", reason, args...)
	return false
}

func positionOf(tk *token.Token) Position {
	if tk == nil || tk.Position == nil {
		return Position{Line: 1, Column: 1}
	}
	return Position{Line: tk.Position.Line, Column: tk.Position.Column}
}
