// Package docs_test checks the architecture page against the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	page   = "ARCHITECTURE.md"
	module = "shalestage.example/shalestage/"
)

// goPackage is one package of the module, by its sources without tests.
type goPackage struct {
	folder   string // from the module's root
	imports  map[string]bool
	declared map[string]bool // Name, or Type.Method and Type.Field
}

// readPackages returns the packages of the module by the folder that the page calls them by.
func readPackages(t *testing.T) map[string]*goPackage {
	t.Helper()
	packages := map[string]*goPackage{}
	for _, root := range []string{"../internal", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
			name := strings.TrimPrefix(folder, "internal/")
			if packages[name] == nil {
				packages[name] = &goPackage{folder: folder, imports: map[string]bool{}, declared: map[string]bool{}}
			}
			packages[name].add(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

// add takes in what a file imports and declares.
func (p *goPackage) add(file *ast.File) {
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if inside, ok := strings.CutPrefix(path, module); ok && err == nil {
			p.imports[strings.TrimPrefix(inside, "internal/")] = true
		}
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			p.declared[receiver(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				p.addSpec(spec)
			}
		}
	}
}

func (p *goPackage) addSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		p.declared[s.Name.Name] = true
	case *ast.ValueSpec:
		for _, name := range s.Names {
			p.declared[name.Name] = true
		}
	}
}

// receiver returns the type of a method with a point behind it, or "".
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	of := function.Recv.List[0].Type
	if pointer, ok := of.(*ast.StarExpr); ok {
		of = pointer.X
	}
	if name, ok := of.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestNamesExist looks up every `package.Name` and `package.Type.Method` of the page.
func TestNamesExist(t *testing.T) {
	packages := readPackages(t)
	byName := map[string][]*goPackage{}
	for folder, p := range packages {
		byName[filepath.Base(folder)] = append(byName[filepath.Base(folder)], p)
	}
	names := regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]*(?:\\.[A-Z][A-Za-z]*)?)`").FindAllStringSubmatch(readPage(t), -1)
	if len(names) < 40 {
		t.Fatalf("only %d names are found on the page", len(names))
	}
	for _, match := range names {
		declares := func(p *goPackage) bool { return p.declared[match[2]] }
		if !slices.ContainsFunc(byName[match[1]], declares) {
			t.Errorf("%s is not declared", match[0])
		}
	}
}

// TestImportsGoDown compares the picture of the layers with the imports: every package is in it
// once, and imports nothing from above.
func TestImportsGoDown(t *testing.T) {
	layers := readLayers(t)
	packages := readPackages(t)
	for name, p := range packages {
		layer, drawn := layers[name]
		if !drawn && name != "fixedseed" { // for tests alone
			t.Errorf("package %s is not in the picture", name)
		}
		for imported := range p.imports {
			if layers[imported] < layer {
				t.Errorf("%s imports %s, which is in a layer above", name, imported)
			}
		}
	}
	for name := range layers {
		if packages[name] == nil {
			t.Errorf("the picture has %s, which does not exist", name)
		}
	}
}

// readLayers returns the layer of each package in the picture, 0 at the top.
func readLayers(t *testing.T) map[string]int {
	t.Helper()
	_, picture, found := strings.Cut(readPage(t), "```text\n")
	picture, _, closed := strings.Cut(picture, "```")
	if !found || !closed {
		t.Fatal("the page has no picture")
	}
	layers := map[string]int{}
	layer := -1
	for line := range strings.Lines(picture) {
		names := strings.Fields(line)
		if !strings.HasPrefix(line, " ") {
			layer++
			names = names[1:]
		}
		for _, name := range names {
			if _, twice := layers[name]; twice {
				t.Errorf("%s is in the picture twice", name)
			}
			layers[name] = layer
		}
	}
	return layers
}

// TestMentionsExist looks up the folders and tests that any page mentions. Pages that record what
// was found or measured at a time keep the names of that time.
func TestMentionsExist(t *testing.T) {
	declared := readTestNames(t)
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, "../README.md")
	for _, name := range pages {
		if name == "results.md" {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, folder := range regexp.MustCompile(`\b(?:internal|cmd|rehearsals|examples)/[a-z0-9/_.-]*[a-z0-9]`).FindAllString(string(text), -1) {
			if _, err := os.Stat("../" + folder); err != nil {
				t.Errorf("%s mentions %s, which does not exist", name, folder)
			}
		}
		for _, test := range regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z][A-Za-z0-9]*\b`).FindAllString(string(text), -1) {
			if !declared[test] {
				t.Errorf("%s mentions %s, which does not exist", name, test)
			}
		}
	}
}

// readTestNames returns the names of all tests and benchmarks of the module.
func readTestNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, root := range []string{"../internal", "../cmd", "."} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, declaration := range file.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok {
					names[function.Name.Name] = true
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
