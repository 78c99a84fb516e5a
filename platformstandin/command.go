package platformstandin

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Command is the command line of the stand-in.
type Command struct {
	Listen string `default:"127.0.0.1:7000" help:"Address to listen on."`
	Hosts  string `help:"JSON file with the list of hosts."`
}

// Run serves until the listener fails.
func (c Command) Run() error {
	server := New()
	if err := c.load(server); err != nil {
		return err
	}
	s := &http.Server{Addr: c.Listen, Handler: server.Handler(), ReadHeaderTimeout: 5 * time.Second}
	return s.ListenAndServe()
}

func (c Command) load(server *Server) error {
	if c.Hosts == "" {
		return nil
	}
	data, err := os.ReadFile(c.Hosts)
	if err != nil {
		return err
	}
	var hosts []tablestore.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return err
	}
	for _, h := range hosts {
		server.SetHost(h)
	}
	return nil
}
