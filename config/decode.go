package config

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// Into decodes the document into the struct that v points to. Fields that the text doesn't name
// keep their values; unknown and repeated fields are errors. A document with errors is not
// decoded.
func (d *Document) Into(v any) {
	if d.root == nil || len(d.Errors) > 0 {
		return
	}
	d.decode("", d.root, reflect.ValueOf(v).Elem())
}

func (d *Document) decode(path string, node ast.Node, v reflect.Value) {
	if path != "" {
		d.positions[path] = positionOf(node.GetToken())
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(path, node, v)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(path, node, v)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(path, node, v)
	case v.Kind() == reflect.Int:
		d.decodeInt(path, node, v)
	case v.Kind() == reflect.String:
		d.decodeString(path, node, v)
	default:
		d.Fail(path, "has a type that settings can't hold: %s", v.Type())
	}
}

func (d *Document) decodeStruct(path string, node ast.Node, v reflect.Value) {
	pairs, ok := mappingOf(node)
	if !ok {
		d.failType(path, node, "fields")
		return
	}
	seen := map[string]int{}
	for _, pair := range pairs {
		key := pair.Key.GetToken()
		name := joinPath(path, key.Value)
		field := v.FieldByName(key.Value)
		if !field.IsValid() {
			d.failAt(positionOf(key), name, "is not a known field")
			continue
		}
		if line, twice := seen[key.Value]; twice {
			d.failAt(positionOf(key), name, "is already named in line %d", line)
			continue
		}
		seen[key.Value] = positionOf(key).Line
		d.decode(name, pair.Value, field)
		d.positions[name] = positionOf(key)
	}
}

func (d *Document) decodeSlice(path string, node ast.Node, v reflect.Value) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.failType(path, node, "a list")
		return
	}
	items := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.decode(fmt.Sprintf("%s[%d]", path, i), item, items.Index(i))
	}
	v.Set(items)
}

func (d *Document) decodeString(path string, node ast.Node, v reflect.Value) {
	s, ok := node.(*ast.StringNode)
	if !ok {
		d.failType(path, node, "text")
		return
	}
	v.SetString(s.Value)
}

func (d *Document) decodeInt(path string, node ast.Node, v reflect.Value) {
	if _, ok := node.(*ast.IntegerNode); !ok {
		d.failType(path, node, "a whole number")
		return
	}
	n, err := strconv.Atoi(node.GetToken().Value)
	if err != nil {
		d.Fail(path, "%q is not a whole number in decimal digits", node.GetToken().Value)
		return
	}
	v.SetInt(int64(n))
}

func (d *Document) decodeDuration(path string, node ast.Node, v reflect.Value) {
	s, ok := node.(*ast.StringNode)
	if !ok {
		d.failType(path, node, "a duration such as 100ms")
		return
	}
	duration, err := time.ParseDuration(s.Value)
	if err != nil {
		d.Fail(path, "%q is not a duration such as 100ms", s.Value)
		return
	}
	v.SetInt(int64(duration))
}

func (d *Document) failType(path string, node ast.Node, want string) {
	got := node.Type().String()
	if _, null := node.(*ast.NullNode); null {
		got = "nothing"
	}
	d.failAt(positionOf(node.GetToken()), path, "must be %s, but is %s", want, got)
}

func mappingOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
