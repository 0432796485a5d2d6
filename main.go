// Command dragonflydeal balances load for expert-parallel model groups.
package main

import (
	"os"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
