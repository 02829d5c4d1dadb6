package config

import (
	"fmt"
	"strings"
)

// Problem describes one error in a declaration or change and how to fix it.
type Problem struct {
	// Path is the path of the invalid field, such as "presets[1].max_queue".
	Path string
	// Message says what is wrong.
	Message string
	// Fix says what to write instead.
	Fix string
	// File is the name of the declaration file. It is empty if the change was not
	// read from a file.
	File string
	// Line and Column are the position in the file, both starting at 1. They are
	// 0 if the change was not read from a file.
	Line, Column int
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	if p.Fix != "" {
		b.WriteString("; " + p.Fix)
	}
	return b.String()
}

// InvalidError is returned for an invalid declaration or change. It holds all
// problems.
type InvalidError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// reporter collects problems.
type reporter struct {
	problems []Problem
}

func (r *reporter) addProblem(path, fix, format string, args ...any) {
	r.problems = append(r.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Fix: fix})
}

func (r *reporter) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: r.problems}
}

// objectPath is the path of one element of a list, such as accounts[3].
type objectPath struct {
	list  string
	index int
}

func (p objectPath) String() string { return fmt.Sprintf("%s[%d]", p.list, p.index) }

// field returns the path of a field of the object.
func (p objectPath) field(name string) fieldPath { return fieldPath{object: p, name: name} }

// fieldPath is the path of one field of an object. Its text is built only when
// a problem is reported, because most fields of a large configuration have none.
type fieldPath struct {
	object objectPath
	name   string
}

func (p fieldPath) String() string { return p.object.String() + "." + p.name }

// item returns the path of one element of the list in the field.
func (p fieldPath) item(index int) objectPath { return objectPath{list: p.String(), index: index} }
