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

// maxFaults is the number of faults after which no further row is read.
const maxFaults = 1000

// kind tells what a row of the register describes: a data centre, an entry, or one of the kinds of targets.
type kind string

// The kinds of rows.
const (
	kindCentre  kind = "centre"
	kindEntry   kind = "entry"
	kindEngine  kind = "engine"
	kindService kind = "service"
)

// inventory holds the parsed rows of a register and its faults.
type inventory struct {
	file          string
	configuration *configuration.Configuration
	faults        document.Faults
	// header holds the column names in the order of the file.
	header []string
	// headerValid is set if the header had no fault, so that the rows were read.
	headerValid bool
	// positions maps paths in the configuration to the positions of their cells.
	positions map[string]position
}

// position is a position in the file; lines and columns are counted from one.
type position struct {
	line, column int
}

// readRegister reads all rows and collects all faults.
func readRegister(s Source) *inventory {
	i := &inventory{file: s.Name, configuration: &configuration.Configuration{}, positions: map[string]position{}}
	if len(s.Data) > MaxSize {
		i.addFault(position{}, "", "split it", fmt.Sprintf("the register has %d bytes, the limit is %d", len(s.Data), MaxSize))
		return i
	}
	reader := csv.NewReader(bytes.NewReader(s.Data))
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	reader.Comment = '#'
	header, err := reader.Read()
	if err != nil {
		i.addFault(position{1, 1}, "", "start with the line "+strings.Join(columnNames(), ","), "the header is missing: "+err.Error())
		return i
	}
	i.headerValid = i.readHeader(reader, header)
	if !i.headerValid {
		return i
	}
	for len(i.faults) < maxFaults {
		record, err := reader.Read()
		var syntaxErr *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			return i
		case errors.As(err, &syntaxErr):
			i.addFault(position{syntaxErr.Line, syntaxErr.Column}, "", "write a quote inside a cell twice and close it", syntaxErr.Err.Error())
		case err != nil:
			i.addFault(position{}, "", "", err.Error())
			return i
		default:
			i.readRow(reader, record)
		}
	}
	return i
}

func (i *inventory) addFault(at position, path, fix, problem string) {
	i.faults = append(i.faults, &document.Fault{
		File: i.file, Line: at.line, Column: at.column, Path: path, Problem: problem, Fix: fix,
	})
}

// readHeader stores the columns and reports whether rows can be read. Unknown, repeated and missing columns are faults.
func (i *inventory) readHeader(reader *csv.Reader, header []string) (ok bool) {
	known := columnNames()
	for n, name := range header {
		name = strings.ToLower(strings.TrimSpace(name))
		switch {
		case slices.Contains(i.header, name):
			i.addFault(fieldPosition(reader, n), name, "remove one of them", "the column occurs twice")
		case !slices.Contains(known, name):
			fix := "known columns are " + strings.Join(known, ", ")
			if suggestion := document.Suggest(name, known); suggestion != "" {
				fix = "did you mean " + strconv.Quote(suggestion) + "?"
			}
			i.addFault(fieldPosition(reader, n), name, fix, "the column is not known")
		}
		i.header = append(i.header, name)
	}
	for _, c := range columns {
		if c.required && !slices.Contains(i.header, c.name) {
			i.addFault(fieldPosition(reader, 0), c.name, "add the column", "the column is missing")
		}
	}
	return len(i.faults) == 0
}

// fieldPosition returns the position of field n of the record that was read last.
func fieldPosition(reader *csv.Reader, n int) position {
	line, column := reader.FieldPos(n)
	return position{line, column}
}

// row is one parsed row of the register. A cell is stored in every field that has such a value; kind tells which field
// is used.
type row struct {
	kind   kind
	centre configuration.Centre
	entry  configuration.Entry
	target configuration.Target
}

// readRow parses one row and adds it to the configuration.
func (i *inventory) readRow(reader *csv.Reader, record []string) {
	start := fieldPosition(reader, 0)
	if len(record) > len(i.header) {
		i.addFault(fieldPosition(reader, len(i.header)), "", "remove them or add columns to the header",
			fmt.Sprintf("the row has %d cells, the header %d", len(record), len(i.header)))
		record = record[:len(i.header)]
	}
	cells := map[string]string{}
	positions := map[string]position{}
	for n, text := range record {
		cells[i.header[n]] = strings.TrimSpace(text)
		positions[i.header[n]] = fieldPosition(reader, n)
	}
	r := &row{kind: kind(strings.ToLower(cells["kind"]))}
	if !slices.Contains([]kind{kindCentre, kindEntry, kindEngine, kindService}, r.kind) {
		i.addFault(cellPosition(positions, "kind", start), "kind", "write centre, entry, engine or service", fmt.Sprintf("%q is not a kind of row", cells["kind"]))
		return
	}
	for _, c := range columns {
		i.readCell(r, c, cells[c.name], cellPosition(positions, c.name, start))
	}
	i.addRow(r, positions, start)
}

// cellPosition returns the position of a cell, or that of the row if the cell is missing.
func cellPosition(positions map[string]position, name string, start position) position {
	if p, ok := positions[name]; ok {
		return p
	}
	return start
}

// readCell parses one cell into the row or adds a fault.
func (i *inventory) readCell(r *row, c column, text string, at position) {
	use := c.uses[r.kind]
	switch {
	case text == "" && use == cellRequired:
		i.addFault(at, c.name, "write "+c.format, "the cell is empty")
	case text == "":
	case use == cellUnused:
		i.addFault(at, c.name, "leave the cell empty", fmt.Sprintf("a row of kind %s has no %s", r.kind, c.name))
	default:
		if err := c.set(r, text); err != nil {
			i.addFault(at, c.name, "write "+c.format, fmt.Sprintf("%q can't be read", text))
		}
	}
}

// addRow adds a row to the configuration and stores the positions of its cells.
func (i *inventory) addRow(r *row, positions map[string]position, start position) {
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
	i.positions[path] = start
	for name, p := range positions {
		i.positions[path+"."+name] = p
	}
}

// positionOf returns the position of a path of the configuration, or that of its row if the cell is missing.
func (i *inventory) positionOf(path string) (line, column int) {
	p, ok := i.positions[path]
	if !ok {
		row, _, _ := strings.Cut(path, ".")
		p = i.positions[row]
	}
	return p.line, p.column
}

// hasFaultAt reports whether there is already a fault at a position.
func (i *inventory) hasFaultAt(line, column int) bool {
	return slices.ContainsFunc(i.faults, func(f *document.Fault) bool { return f.Line == line && f.Column == column })
}
