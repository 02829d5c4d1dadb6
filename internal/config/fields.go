package config

import (
	"fmt"
	"iter"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// fields gives access to the fields of one YAML mapping. Its methods report
// problems to the reader. The parameter unset of a method is the value that it
// returns if the field is missing or invalid.
type fields struct {
	r *reader
	// path is the path of the mapping in the declaration.
	path string
	// values holds the known fields that the mapping has, by name.
	values map[string]node
	// notMapping is set if the node is not a mapping. Its required fields are then
	// not reported as missing, because the node itself has been reported.
	notMapping bool
}

// lookup returns the text of a field. It returns false if the field is missing
// or, after reporting it, if its value is not a scalar.
func (f *fields) lookup(name string) (text string, ok bool) {
	value, ok := f.values[name]
	if !ok {
		return "", false
	}
	return f.r.scalar(value)
}

func (f *fields) has(name string) bool {
	_, ok := f.values[name]
	return ok
}

// items iterates over the elements of a field that holds a list.
func (f *fields) items(name string) iter.Seq[node] {
	return func(yield func(node) bool) {
		value, ok := f.values[name]
		if !ok || isNull(value.Node) {
			return
		}
		list, ok := value.Node.(*ast.SequenceNode)
		if !ok {
			f.r.addNodeProblem(value, "write a list: one '- ' line for each item", "a list is expected here")
			return
		}
		for i, item := range list.Values {
			path := fmt.Sprintf("%s[%d]", value.path, i)
			f.r.positions[path] = positionOf(item)
			if !yield(node{Node: item, path: path}) {
				return
			}
		}
	}
}

func (f *fields) texts(name string) []string {
	var texts []string
	for item := range f.items(name) {
		text, ok := f.r.scalar(item)
		if ok {
			texts = append(texts, text)
		}
	}
	return texts
}

func (f *fields) text(name string) string {
	text, _ := f.lookup(name)
	return text
}

func (f *fields) required(name string) string {
	if !f.has(name) && !f.notMapping {
		path := strings.TrimPrefix(f.path+"."+name, ".")
		f.r.addProblem(path, fmt.Sprintf("add '%s: ...'", name), "field %q is missing", name)
	}
	return f.text(name)
}

func (f *fields) boolean(name string) bool {
	value, ok := f.values[name]
	if !ok {
		return false
	}
	b, ok := value.Node.(*ast.BoolNode)
	if !ok {
		f.addInvalidValue(name, "write true or false", "true or false is expected")
		return false
	}
	return b.Value
}

func (f *fields) unsigned(name string, unset uint32) uint32 {
	text, ok := f.lookup(name)
	if !ok {
		return unset
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		f.addInvalidValue(name, "write a whole number from 0, without a unit", "a whole number is expected")
		return unset
	}
	return uint32(n)
}

// positiveInteger returns an integer of at least 1.
func (f *fields) positiveInteger(name string, unset uint32) uint32 {
	n := f.unsigned(name, unset)
	if n == 0 {
		f.addInvalidValue(name, "write at least 1, or leave the field out", "0 is out of range")
		return unset
	}
	return n
}

func (f *fields) signed(name string, unset int32) int32 {
	text, ok := f.lookup(name)
	if !ok {
		return unset
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		f.addInvalidValue(name, "write a whole number, without a unit", "a whole number is expected")
		return unset
	}
	return int32(n)
}

func (f *fields) positiveFloat(name string, unset float64) float64 {
	text, ok := f.lookup(name)
	if !ok {
		return unset
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n <= 0 {
		f.addInvalidValue(name, fmt.Sprintf("write a number above 0 and up to %v, without a unit", MaxCostWeight), "a positive number is expected")
		return unset
	}
	return n
}

// amount returns a number from 0, which may have a fraction; 0 if the field is missing
// or invalid.
func (f *fields) amount(name string) float64 {
	text, ok := f.lookup(name)
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.addInvalidValue(name, "write a number from 0, without a unit", "a number from 0 is expected")
		return 0
	}
	return n
}

func (f *fields) duration(name string, unset, low, high time.Duration) time.Duration {
	text, ok := f.lookup(name)
	if !ok {
		return unset
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		f.addInvalidValue(name, "write a number with its unit: ms, s, m or h, such as 30s", "a duration with a unit is expected")
		return unset
	}
	if d < low || d > high {
		f.addInvalidValue(name, fmt.Sprintf("write %v to %v", low, high), fmt.Sprintf("%v is out of range", d))
		return unset
	}
	return d
}

func (f *fields) percent(name string, unset uint32) uint32 {
	text, ok := f.lookup(name)
	if !ok {
		return unset
	}
	digits, found := strings.CutSuffix(text, "%")
	n, err := strconv.ParseUint(digits, 10, 32)
	if !found || err != nil || n > 100 {
		f.addInvalidValue(name, "write a whole number from 0 to 100 with its unit, such as 10%", "a percentage is expected")
		return unset
	}
	return uint32(n)
}

// addInvalidValue reports that the value of a field is invalid.
func (f *fields) addInvalidValue(name, fix, message string) {
	f.r.addNodeProblem(f.values[name], fix, message)
}
