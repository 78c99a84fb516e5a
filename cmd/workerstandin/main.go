// Command workerstandin runs stand-ins for the agents of one or more workers.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

func main() {
	var c workerstandin.Command
	k := kong.Parse(&c, kong.Name("workerstandin"))
	k.FatalIfErrorf(k.Run())
}
