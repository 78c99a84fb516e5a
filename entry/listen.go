package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/certificate"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/settings"
)

// listener is an HTTP server with the address that it is bound to.
type listener struct {
	server *server.Server
	bound  net.Listener
	// detectsHangUp reports whether the listener can tell if the caller of a request
	// has hung up.
	detectsHangUp bool
}

// listeners holds the listeners of one host.
type listeners struct {
	callers, operators, peers listener
}

// listen binds every address, or none.
func (h *Host) listen() (*listeners, error) {
	peers := http.NewServeMux()
	peers.Handle(peer.Path, h.hub)
	handler := caller.Handler(caller.Options{
		Settings: h.settings, Region: h.hostSettings.Region, Owners: h.calls, Stopping: h.stopping, Log: h.log,
	})
	all := &listeners{
		callers:   h.newListener(handler),
		operators: h.newListener(operator.Handler(h.settings, operators{h})),
		peers:     h.newListener(peers),
	}
	all.callers.detectsHangUp = true
	limits, certificates := h.settings.Limits, h.settings.TLS
	for _, bind := range []struct {
		to          *listener
		name        string
		address     string
		connections int
		certificate *settings.Certificate
	}{
		{&all.callers, "callers", h.hostSettings.Callers, limits.Connections, certificates.Callers},
		{&all.operators, "operators", h.hostSettings.Operators, limits.Connections, certificates.Operators},
		{&all.peers, "peers", h.hostSettings.Peers, 0, certificates.Peers},
	} {
		if err := h.bind(bind.to, bind.address, bind.connections, bind.certificate); err != nil {
			all.close()
			return nil, errors.Annotatef(err, "listen for %s", bind.name)
		}
	}
	return all, nil
}

func (h *Host) newListener(handler http.Handler) listener {
	limits := h.settings.Limits
	return listener{server: &server.Server{Server: http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		ErrorLog:          log.New(httpLog{h.log}, "", 0),
	}}}
}

// httpLog logs what net/http reports about bad connections.
type httpLog struct{ log *logrus.Logger }

// Write implements io.Writer.
func (l httpLog) Write(line []byte) (int, error) {
	l.log.Debugf("Entry: %s.", bytes.TrimSpace(line))
	return len(line), nil
}

// bind opens an address for at most the given number of connections; 0 means no limit.
func (h *Host) bind(l *listener, address string, connections int, files *settings.Certificate) error {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	l.bound = opened
	if l.detectsHangUp {
		callers := newCallerListener(opened)
		l.bound, l.server.ConnContext = callers, callers.context
	}
	if connections > 0 {
		l.bound = netutil.LimitListener(l.bound, connections)
	}
	if files == nil {
		return nil
	}
	store, err := h.openCertificate(*files)
	if err != nil {
		return err
	}
	l.bound = tls.NewListener(l.bound, store.TLSConfig())
	return nil
}

func (h *Host) openCertificate(files settings.Certificate) (*certificate.Store, error) {
	return certificate.Open(
		certificate.Files{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority},
		func(err error) {
			h.log.Warnf("TLS: reloading the certificate failed, keeping the one in use: %v.", err)
		})
}

// serve runs every listener in the group.
func (l *listeners) serve(group *errgroup.Group) {
	for _, listener := range []listener{l.callers, l.operators, l.peers} {
		group.Go(func() error { return listener.server.Serve(listener.bound) })
	}
}

// finish stops the listener and waits for its requests in flight.
func (l listener) finish(ctx context.Context) error { return l.server.Drain(ctx) }

// close closes every listener with its connections.
func (l *listeners) close() {
	for _, listener := range []listener{l.callers, l.operators, l.peers} {
		// A server that is already closed is no error.
		_ = listener.server.Close()
		if listener.bound != nil {
			_ = listener.bound.Close()
		}
	}
}
