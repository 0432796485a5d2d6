package register

import (
	"net/netip"
	"strconv"
)

// use tells whether a kind of row has a cell in a column.
type use int

const (
	unused use = iota
	optional
	wanted
)

// column is a column of the register.
type column struct {
	name string
	// required tells that the header must have it.
	required bool
	// form says what is to be written.
	form string
	// uses tells for each kind of row whether the cell is wanted; a kind that is not there has none.
	uses map[kind]use
	// set takes in a cell that is not empty.
	set func(r *row, text string) error
}

// targets returns the uses of a column that only targets have.
func targets(u use) map[kind]use {
	return map[kind]use{kindEngine: u, kindService: u}
}

// columns are those of the register.
var columns = []column{
	{"kind", true, "centre, entry, engine or service", map[kind]use{kindCentre: wanted, kindEntry: wanted, kindEngine: wanted, kindService: wanted},
		func(*row, string) error { return nil }},
	{"name", true, "a unique name", map[kind]use{kindCentre: wanted, kindEntry: wanted, kindEngine: wanted, kindService: wanted}, setName},
	{"centre", true, "the name of a data centre", map[kind]use{kindEntry: wanted, kindEngine: wanted, kindService: wanted}, setCentre},
	{"address", true, "an IP address with a port such as 10.1.0.21:7400", map[kind]use{kindEntry: wanted, kindEngine: wanted, kindService: wanted}, setAddress},
	{"watts", false, "whole watts such as 900", map[kind]use{kindCentre: optional, kindEngine: optional, kindService: optional}, setWatts},
	{"pool", true, "the name of a pool", targets(wanted), setPool},
	{"width", true, "the number of requests at once such as 8", targets(wanted), setWidth},
	{"group", false, "the name of a group", targets(optional), setGroup},
	{"rank", false, "a number from 0", targets(optional), setRank},
	{"idle", false, "whole watts such as 200", targets(optional), setIdle},
	{"draw", false, "whole watts such as 60", targets(optional), setDraw},
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

// maxWatts is the largest power that a register may give.
const maxWatts = 1_000_000_000

// parseWatts reads a power.
func parseWatts(text string) (watts int64, err error) {
	watts, err = strconv.ParseInt(text, 10, 64)
	if err == nil && (watts < 0 || watts > maxWatts) {
		err = strconv.ErrRange
	}
	return watts, err
}
