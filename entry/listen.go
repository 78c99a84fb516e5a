package entry

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/vanillaquay/vanillaquay/budget"
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
	limits := limitsOf(h.settings.Limits)
	requests := budget.New(limits.RequestBytes)
	all := &listeners{
		callers:   h.newListener(handler, limits.Callers, requests),
		operators: h.newListener(operator.Handler(h.settings, operators{h}), server.MaxProbeConnections, requests),
		peers:     h.newListener(peers, limits.Links, nil),
	}
	all.callers.detectsHangUp = true
	certificates := h.settings.TLS
	for _, bind := range []struct {
		to          *listener
		name        string
		address     string
		listen      func(address string) (net.Listener, error)
		certificate *settings.Certificate
	}{
		{&all.callers, "callers", h.hostSettings.Callers, server.Listen, certificates.Callers},
		{&all.operators, "operators", h.hostSettings.Operators, server.Listen, certificates.Operators},
		{&all.peers, "peers", h.hostSettings.Peers, listenForPeers, certificates.Peers},
	} {
		opened, err := bind.listen(bind.address)
		if err == nil {
			err = h.bind(bind.to, opened, bind.certificate)
		}
		if err != nil {
			all.close()
			return nil, errors.Annotatef(err, "listen for %s", bind.name)
		}
	}
	return all, nil
}

// listenForPeers opens an address for links, which need the large receive buffers of the system.
func listenForPeers(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// newListener returns a listener for a number of connections, whose requests hold memory of a
// budget; nil is no limit.
func (h *Host) newListener(handler http.Handler, connections int, memory *budget.Budget) listener {
	limits := h.settings.Limits
	s := &server.Server{Memory: memory, BodyTimeout: time.Duration(limits.BodyTimeout), Server: http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		MaxHeaderBytes:    server.MaxHeaderBytes,
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		ErrorLog:          log.New(httpLog{h.log}, "", 0),
	}}
	s.LimitConnections(connections)
	return listener{server: s}
}

// httpLog logs what net/http reports about bad connections.
type httpLog struct{ log *logrus.Logger }

// Write implements io.Writer.
func (l httpLog) Write(line []byte) (int, error) {
	l.log.Debugf("Entry: %s.", bytes.TrimSpace(line))
	return len(line), nil
}

// bind makes a listener serve what an address accepts.
func (h *Host) bind(l *listener, opened net.Listener, files *settings.Certificate) error {
	l.bound = opened
	if l.detectsHangUp {
		callers := newCallerListener(opened)
		l.bound, l.server.ConnContext = callers, callers.context
	}
	if files == nil {
		return nil
	}
	store, err := h.openCertificate(*files)
	if err != nil {
		return err
	}
	l.server.TLSConfig = store.TLSConfig()
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
