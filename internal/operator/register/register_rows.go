package register

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// maxFaults bounds the faults that are reported for a register.
const maxFaults = 1000

// kind tells what a row of the register describes.
type kind string

// The kinds of rows.
const (
	kindCentre  kind = "centre"
	kindEntry   kind = "entry"
	kindEngine  kind = "engine"
	kindService kind = "service"
)

// inventory is what a register holds.
type inventory struct {
	file          string
	configuration *configuration.Configuration
	faults        document.Faults
	// columns are the names of the header.
	columns []string
	// read tells that the header was good, so that rows were read.
	read bool
	// places holds the place of each cell by its path in the configuration.
	places map[string]position
}

// position is a place in the file, counted from one.
type position struct {
	line, column int
}

// readRegister reads all rows and notes every fault.
func readRegister(s Source) *inventory {
	i := &inventory{file: s.Name, configuration: &configuration.Configuration{}, places: map[string]position{}}
	if len(s.Data) > MaxSize {
		i.add(position{}, "", "split it", fmt.Sprintf("the register has %d bytes, the limit is %d", len(s.Data), MaxSize))
		return i
	}
	reader := csv.NewReader(bytes.NewReader(s.Data))
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	reader.Comment = '#'
	header, err := reader.Read()
	if err != nil {
		i.add(position{1, 1}, "", "start with the line "+strings.Join(columnNames(), ","), "the header is missing: "+err.Error())
		return i
	}
	i.read = i.readHeader(reader, header)
	if !i.read {
		return i
	}
	for len(i.faults) < maxFaults {
		record, err := reader.Read()
		var syntax *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			return i
		case errors.As(err, &syntax):
			i.add(position{syntax.Line, syntax.Column}, "", "write a quote inside a cell twice and close it", syntax.Err.Error())
		case err != nil:
			i.add(position{}, "", "", err.Error())
			return i
		default:
			i.readRow(reader, record)
		}
	}
	return i
}

func (i *inventory) add(at position, path, fix, problem string) {
	i.faults = append(i.faults, &document.Fault{
		File: i.file, Line: at.line, Column: at.column, Path: path, Problem: problem, Fix: fix,
	})
}

// readHeader notes the columns and reports whether rows can be read; unknown, doubled and missing ones are faults.
func (i *inventory) readHeader(reader *csv.Reader, header []string) (ok bool) {
	known := columnNames()
	for n, name := range header {
		name = strings.ToLower(strings.TrimSpace(name))
		switch {
		case slices.Contains(i.columns, name):
			i.add(cell(reader, n), name, "remove one of them", "the column is there twice")
		case !slices.Contains(known, name):
			fix := "known columns are " + strings.Join(known, ", ")
			if likely := document.Suggest(name, known); likely != "" {
				fix = "did you mean " + strconv.Quote(likely) + "?"
			}
			i.add(cell(reader, n), name, fix, "the column is not known")
		}
		i.columns = append(i.columns, name)
	}
	for _, c := range columns {
		if c.required && !slices.Contains(i.columns, c.name) {
			i.add(cell(reader, 0), c.name, "add the column", "the column is missing")
		}
	}
	return len(i.faults) == 0
}

// cell returns the place of a cell of the newest record.
func cell(reader *csv.Reader, n int) position {
	line, column := reader.FieldPos(n)
	return position{line, column}
}

// row is one line of the register.
type row struct {
	kind   kind
	centre configuration.Centre
	entry  configuration.Entry
	target configuration.Target
}

// readRow takes in one row.
func (i *inventory) readRow(reader *csv.Reader, record []string) {
	start := cell(reader, 0)
	if len(record) > len(i.columns) {
		i.add(cell(reader, len(i.columns)), "", "remove them or add columns to the header",
			fmt.Sprintf("the row has %d cells, the header %d", len(record), len(i.columns)))
		record = record[:len(i.columns)]
	}
	cells := map[string]string{}
	at := map[string]position{}
	for n, text := range record {
		cells[i.columns[n]] = strings.TrimSpace(text)
		at[i.columns[n]] = cell(reader, n)
	}
	r := &row{kind: kind(strings.ToLower(cells["kind"]))}
	if !slices.Contains([]kind{kindCentre, kindEntry, kindEngine, kindService}, r.kind) {
		i.add(place(at, "kind", start), "kind", "write centre, entry, engine or service", fmt.Sprintf("%q is not a kind of row", cells["kind"]))
		return
	}
	for _, c := range columns {
		i.readCell(r, c, cells[c.name], place(at, c.name, start))
	}
	i.keep(r, at, start)
}

// place returns the place of a cell, or that of the row when the cell is not there.
func place(at map[string]position, name string, start position) position {
	if p, ok := at[name]; ok {
		return p
	}
	return start
}

// readCell takes in one cell.
func (i *inventory) readCell(r *row, c column, text string, at position) {
	use := c.uses[r.kind]
	switch {
	case text == "" && use == wanted:
		i.add(at, c.name, "write "+c.form, "the cell is empty")
	case text == "":
	case use == unused:
		i.add(at, c.name, "leave the cell empty", fmt.Sprintf("a row of kind %s has no %s", r.kind, c.name))
	default:
		if err := c.set(r, text); err != nil {
			i.add(at, c.name, "write "+c.form, fmt.Sprintf("%q can't be read", text))
		}
	}
}

// keep adds a row to the configuration and notes where its cells are.
func (i *inventory) keep(r *row, at map[string]position, start position) {
	c := i.configuration
	var path string
	switch r.kind {
	case kindCentre:
		path = fmt.Sprintf("centres[%d]", len(c.Centres))
		c.Centres = append(c.Centres, r.centre)
	case kindEntry:
		path = fmt.Sprintf("entries[%d]", len(c.Entries))
		c.Entries = append(c.Entries, r.entry)
	default:
		path = fmt.Sprintf("targets[%d]", len(c.Targets))
		r.target.Kind = configuration.Kind(r.kind)
		c.Targets = append(c.Targets, r.target)
	}
	i.places[path] = start
	for name, p := range at {
		i.places[path+"."+name] = p
	}
}

// place returns the place of a path of the configuration.
func (i *inventory) place(path string) (line, column int) {
	p, ok := i.places[path]
	if !ok {
		row, _, _ := strings.Cut(path, ".")
		p = i.places[row]
	}
	return p.line, p.column
}

// faultAt reports whether a cell has a fault already.
func (i *inventory) faultAt(line, column int) bool {
	return slices.ContainsFunc(i.faults, func(f *document.Fault) bool { return f.Line == line && f.Column == column })
}
