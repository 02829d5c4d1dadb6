package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// position is a position in a file. Lines and columns start at 1.
type position struct {
	line, column int
}

// node is a YAML node with its path in the declaration.
type node struct {
	ast.Node
	path string
}

// reader reads a declaration from its syntax tree. It collects all problems
// instead of stopping at the first one.
type reader struct {
	reporter
	fileName string
	// positions holds the position of each field and list element by its path.
	positions map[string]position
}

// addProblemAt reports a problem at a known position.
func (r *reader) addProblemAt(at position, path, fix, format string, args ...any) {
	r.addProblem(path, fix, format, args...)
	last := &r.problems[len(r.problems)-1]
	last.Line = at.line
	last.Column = at.column
}

// locate sets the file name of a problem and, if it has no position yet, its line
// and column. The position is that of the field at the problem's path or, if the
// file does not contain the field, that of the nearest enclosing object. If there
// is none, it is the start of the file.
func (r *reader) locate(p *Problem) {
	p.File = r.fileName
	if p.Line > 0 {
		return
	}
	for path := p.Path; path != ""; path = parentPath(path) {
		if at, ok := r.positions[path]; ok {
			p.Line = at.line
			p.Column = at.column
			return
		}
	}
	p.Line = 1
	p.Column = 1
}

func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

func positionOf(n ast.Node) position {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return position{line: t.Position.Line, column: t.Position.Column}
	}
	return position{line: 1, column: 1}
}

func isNull(n ast.Node) bool { return n == nil || n.Type() == ast.NullType }

// mapping reads a mapping. It reports nodes of other kinds and fields whose names
// are not in known. A null value counts as a mapping without fields.
func (r *reader) mapping(n ast.Node, path string, known ...string) *fields {
	f := &fields{r: r, path: path, values: map[string]node{}}
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, entry := range n.Values {
			r.field(f, entry, known)
		}
	case *ast.MappingValueNode:
		r.field(f, n, known)
	case *ast.NullNode:
	default:
		f.notMapping = true
		r.addNodeProblem(node{Node: n, path: path}, "write 'field: value' lines", "fields are expected here")
	}
	return f
}

// addNodeProblem reports a node of the wrong kind or with an invalid value. For
// an anchor, alias or tag it reports instead that these are not supported.
func (r *reader) addNodeProblem(n node, fix, message string) {
	switch n.Node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.TagNode:
		message = "anchors, aliases and tags are not supported"
		fix = "write the value out"
	}
	at := r.positions[n.path]
	if !isNull(n.Node) {
		at = positionOf(n.Node)
	}
	r.addProblemAt(at, n.path, fix, "%s", message)
}

// field adds an entry of a mapping to f. It reports fields that are unknown or
// written twice.
func (r *reader) field(f *fields, entry *ast.MappingValueNode, known []string) {
	at := positionOf(entry.Key)
	key, ok := entry.Key.(*ast.StringNode)
	if !ok {
		r.addProblemAt(at, f.path, "use one of "+strings.Join(known, ", "), "bad field name %q", truncate(entry.Key.String()))
		return
	}
	name := key.Value
	path := strings.TrimPrefix(f.path+"."+name, ".")
	if !slices.Contains(known, name) {
		r.addProblemAt(at, path, suggestFix(name, known), "unknown field %q", truncate(name))
		return
	}
	if _, twice := f.values[name]; twice {
		r.addProblemAt(at, path, "remove one of them", "field %q is written twice", name)
		return
	}
	r.positions[path] = at
	f.values[name] = node{Node: entry.Value, path: path}
}

// scalar returns the text of a scalar node. It reports a node of any other kind
// and returns false.
func (r *reader) scalar(n node) (text string, ok bool) {
	switch value := n.Node.(type) {
	case *ast.StringNode:
		return value.Value, true
	case *ast.IntegerNode:
		return value.Token.Value, true
	case *ast.FloatNode:
		return value.Token.Value, true
	case *ast.BoolNode:
		return value.Token.Value, true
	case *ast.LiteralNode:
		return value.Value.Value, true
	}
	r.addNodeProblem(n, "write a single value", "a value is expected here")
	return "", false
}

// suggestFix returns the fix for an unknown field: the known field with the most
// similar name or, if no name is similar, the list of known fields.
func suggestFix(name string, known []string) string {
	nearest, distance := "", 3
	for _, k := range known {
		if d := editDistance(name, k); d < distance {
			nearest, distance = k, d
		}
	}
	if nearest != "" {
		return fmt.Sprintf("did you mean %q?", nearest)
	}
	return "use one of " + strings.Join(known, ", ")
}

// maxSuggestionBytes is the maximum length of an unknown field name for which a
// similar name is suggested. It limits the cost of the comparison.
const maxSuggestionBytes = 64

// editDistance returns the Levenshtein distance between a and b. If a is longer
// than maxSuggestionBytes, it returns that limit instead.
func editDistance(a, b string) int {
	if len(a) > maxSuggestionBytes {
		return maxSuggestionBytes
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
