package commands

import (
	"fmt"
	"io"
)

// examples holds the examples that are printed after the help of each command.
var examples = map[string]string{
	"": `  dragonflydeal trial
  dragonflydeal check --configuration site.json
  dragonflydeal entry --settings entry-1.json`,
	"entry": `  dragonflydeal entry --settings entry-1.json
  dragonflydeal entry --settings entry-1.json --verbose 2> entry-1.log`,
	"slot": `  dragonflydeal slot --settings desk-1.json`,
	"trial": `  dragonflydeal trial --seed 7
  dragonflydeal trial --json > result.json
  dragonflydeal trial --stay`,
	"check": `  dragonflydeal check --settings entry-1.json --role entry
  dragonflydeal check --configuration site.json --settings a.json --settings b.json`,
	"import": `  dragonflydeal import --register assets.csv --rules rules.json > site.json
  dragonflydeal import --register assets.csv --rules rules.json --revision 12 --out site.json`,
	"status": `  dragonflydeal status 10.1.0.11:7401 10.1.0.21:7401
  dragonflydeal status --changes 5 10.1.0.11:7401
  dragonflydeal status --json 10.1.0.11:7401`,
	"explain": `  cat entry-*.log slot-*.log | dragonflydeal explain 9c41d07be2a35f68`,
	"version": `  dragonflydeal version`,
}

// exitCodes is printed after the help of every command.
const exitCodes = `  0  the command succeeded
  1  the command ran and failed
  2  the arguments or an input file were invalid; nothing was done`

// writeExamples prints the examples of a command and the exit codes.
func writeExamples(out io.Writer, command []string) {
	name := ""
	if len(command) > 0 {
		name = command[0]
	}
	fmt.Fprintf(out, "\nExamples:\n%s\n\nExit codes:\n%s\n", examples[name], exitCodes)
}
