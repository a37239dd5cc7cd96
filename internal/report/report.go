// Package report writes pages that need nothing beside them: tables, and plots drawn into
// the page.
package report

import (
	_ "embed"
	"encoding/json"
	"errors"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strconv"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Page is what a report's page shows; any part may be missing.
type Page struct {
	Title, About string
	Notes        []string
	Parts        []Section
}

// Section is a part of a page.
type Section struct {
	Title  string
	Text   []string
	Plots  []template.HTML
	Tables []Table
}

// Table is one table. A row's class marks it.
type Table struct {
	Caption string
	Head    []string
	Rows    []Row
}

// Row is one line of a table.
type Row struct {
	Class string
	Cells []string
}

// WriteHTML writes the page.
func (p Page) WriteHTML(w io.Writer) error { return page.Execute(w, p) }

// Save writes a file whole, or leaves it as it was.
func Save(file string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(file), ".part-*")
	if err != nil {
		return err
	}
	err = errors.Join(write(f), f.Chmod(0o644), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// JSON returns what writes a value in a form that people can read too.
func JSON(v any) func(io.Writer) error {
	return func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
}

// Number shows a figure to a person.
func Number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
