package config

import (
	"fmt"
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Change is one value that differs between two documents. An empty Old or
// New means that the path is absent in that document.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as config diff prints it.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists the differences, ordered by path. Lists of named items are
// compared by name, so a reordered item is no change.
func Diff(from, to *Document) ([]Change, error) {
	a, err := flatten(from)
	if err != nil {
		return nil, err
	}
	b, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var out []Change
	for p, v := range a {
		if b[p] != v {
			out = append(out, Change{Path: p, Old: v, New: b[p]})
		}
	}
	for p, v := range b {
		if _, ok := a[p]; !ok {
			out = append(out, Change{Path: p, New: v})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out, nil
}

func flatten(d *Document) (map[string]string, error) {
	out := map[string]string{}
	if d == nil {
		return out, nil
	}
	text, err := Encode(d)
	if err != nil {
		return nil, err
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, failure.Wrap(failure.Internal, err, "flatten configuration")
	}
	walk(root.Content[0], "", out)
	return out, nil
}

func walk(n *yaml.Node, path string, out map[string]string) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			walk(n.Content[i+1], join(path, n.Content[i].Value), out)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			walk(c, fmt.Sprintf("%s[%s]", path, itemName(c, i)), out)
		}
	default:
		out[path] = n.Value
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemName identifies a list item by its name, or by service and name for a
// request kind; otherwise by its value or index.
func itemName(n *yaml.Node, index int) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	var name, service string
	for i := 0; i+1 < len(n.Content); i += 2 {
		switch n.Content[i].Value {
		case "name":
			name = n.Content[i+1].Value
		case "service":
			service = n.Content[i+1].Value
		}
	}
	switch {
	case name == "":
		return fmt.Sprint(index)
	case service != "":
		return service + "/" + name
	}
	return name
}
