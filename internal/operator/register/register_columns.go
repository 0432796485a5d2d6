package register

import (
	"net/netip"
	"strconv"
)

// cellUse states whether a row must, may or must not fill its cell in a column.
type cellUse int

const (
	cellUnused cellUse = iota
	cellOptional
	cellRequired
)

// column describes one column of the register.
type column struct {
	name string
	// required is set if the header must contain the column.
	required bool
	// format describes a valid cell; faults suggest it as the fix.
	format string
	// uses holds the use of the cell by kind of row; a missing kind means cellUnused.
	uses map[kind]cellUse
	// set parses a cell that is not empty into the row.
	set func(r *row, text string) error
}

// targetUses returns the uses of a column that applies only to targets.
func targetUses(u cellUse) map[kind]cellUse {
	return map[kind]cellUse{kindEngine: u, kindService: u}
}

// columns are the known columns of the register.
var columns = []column{
	{"kind", true, "centre, entry, engine or service", map[kind]cellUse{kindCentre: cellRequired, kindEntry: cellRequired, kindEngine: cellRequired, kindService: cellRequired},
		func(*row, string) error { return nil }},
	{"name", true, "a unique name", map[kind]cellUse{kindCentre: cellRequired, kindEntry: cellRequired, kindEngine: cellRequired, kindService: cellRequired}, setName},
	{"centre", true, "the name of a data centre", map[kind]cellUse{kindEntry: cellRequired, kindEngine: cellRequired, kindService: cellRequired}, setCentre},
	{"address", true, "an IP address with a port such as 10.1.0.21:7400", map[kind]cellUse{kindEntry: cellRequired, kindEngine: cellRequired, kindService: cellRequired}, setAddress},
	{"watts", false, "whole watts such as 900", map[kind]cellUse{kindCentre: cellOptional, kindEngine: cellOptional, kindService: cellOptional}, setWatts},
	{"pool", true, "the name of a pool", targetUses(cellRequired), setPool},
	{"width", true, "the number of requests at once such as 8", targetUses(cellRequired), setWidth},
	{"group", false, "the name of a group", targetUses(cellOptional), setGroup},
	{"rank", false, "a number from 0", targetUses(cellOptional), setRank},
	{"idle", false, "whole watts such as 200", targetUses(cellOptional), setIdle},
	{"draw", false, "whole watts such as 60", targetUses(cellOptional), setDraw},
}

func columnNames() (names []string) {
	for _, c := range columns {
		names = append(names, c.name)
	}
	return names
}

func setName(r *row, text string) error {
	r.centre.Name, r.entry.Name, r.target.Name = text, text, text
	return nil
}

func setCentre(r *row, text string) error {
	r.entry.Centre, r.target.Centre = text, text
	return nil
}

func setAddress(r *row, text string) (err error) {
	r.entry.Address, err = netip.ParseAddrPort(text)
	r.target.Address = r.entry.Address
	return err
}

func setWatts(r *row, text string) (err error) {
	r.target.Watts, err = parseWatts(text)
	r.centre.Watts = r.target.Watts
	return err
}

func setPool(r *row, text string) error {
	r.target.Pool = text
	return nil
}

func setGroup(r *row, text string) error {
	r.target.Group = text
	return nil
}

func setWidth(r *row, text string) (err error) {
	r.target.Width, err = strconv.Atoi(text)
	return err
}

func setRank(r *row, text string) (err error) {
	r.target.Rank, err = strconv.Atoi(text)
	return err
}

func setIdle(r *row, text string) (err error) {
	r.target.Idle, err = parseWatts(text)
	return err
}

func setDraw(r *row, text string) (err error) {
	r.target.Draw, err = parseWatts(text)
	return err
}

// maxWatts is the largest power that a cell may hold.
const maxWatts = 1_000_000_000

// parseWatts parses a power in whole watts.
func parseWatts(text string) (watts int64, err error) {
	watts, err = strconv.ParseInt(text, 10, 64)
	if err == nil && (watts < 0 || watts > maxWatts) {
		err = strconv.ErrRange
	}
	return watts, err
}
