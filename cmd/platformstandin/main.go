// Command platformstandin runs a stand-in for the platform's table, object
// store and list of hosts.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

func main() {
	var c platformstandin.Command
	k := kong.Parse(&c, kong.Name("platformstandin"))
	k.FatalIfErrorf(k.Run())
}
