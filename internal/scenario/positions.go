package scenario

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is the line and column of a key in a file, both counted from 1.
type position struct{ line, col int }

// positions returns the position of each key and table of a file, by its path, such as "job[2].tasks". The
// TOML decoder reports only positions of values of the wrong type; these positions are for validation errors.
func positions(text []byte) map[string]position {
	out := map[string]position{}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	at := func(n *unstable.Node) position {
		start := p.Shape(p.Range(n.Data)).Start
		return position{start.Line, start.Column}
	}
	for p.NextExpression() {
		e := p.Expression()
		var keys []string
		var first *unstable.Node
		for it := e.Key(); it.Next(); {
			if first == nil {
				first = it.Node()
			}
			keys = append(keys, string(it.Node().Data))
		}
		if first == nil {
			continue
		}
		path := strings.Join(keys, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			if counts[path]++; counts[path] == 1 {
				out[path] = at(first)
			}
			out[table] = at(first)
		case unstable.Table:
			table = path
			out[table] = at(first)
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			out[path] = at(first)
			elements(path, e.Value(), at, out)
		}
	}
	return out
}

// elements adds the positions of the elements of inline arrays and tables.
func elements(path string, v *unstable.Node, at func(*unstable.Node) position, out map[string]position) {
	if v.Kind != unstable.Array && v.Kind != unstable.InlineTable {
		return
	}
	i := 0
	for it := v.Children(); it.Next(); i++ {
		n := it.Node()
		if v.Kind == unstable.Array {
			elem := fmt.Sprintf("%s[%d]", path, i)
			if n.Kind != unstable.InlineTable && n.Kind != unstable.Array && len(n.Data) > 0 {
				out[elem] = at(n)
			} else {
				out[elem] = out[path]
			}
			elements(elem, n, at, out)
			continue
		}
		var keys []string
		var first *unstable.Node
		for k := n.Key(); k.Next(); {
			if first == nil {
				first = k.Node()
			}
			keys = append(keys, string(k.Node().Data))
		}
		sub := path + "." + strings.Join(keys, ".")
		out[sub] = at(first)
		elements(sub, n.Value(), at, out)
	}
}
