package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Files names the PEM files of a certificate.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the CA certificates that verify the other end; empty means that
	// a listener requests no client certificate.
	Authority string
}

// Store holds a certificate and reloads it when its files change. Use Open to make one.
// It is safe for concurrent use.
type Store struct {
	files Files
	// onLoadError receives the error if changed files can't be loaded.
	onLoadError func(error)

	mu       sync.Mutex
	modTimes [3]time.Time
	// pair and authorities always come from the same successful load.
	pair        *tls.Certificate
	authorities *x509.CertPool
}

// Open loads the files for the first time. Errors of later loads go to onLoadError.
func Open(files Files, onLoadError func(error)) (*Store, error) {
	s := &Store{files: files, onLoadError: onLoadError}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.load(s.statFiles())
}

// TLSConfig returns the TLS configuration of a listener.
func (s *Store) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.connectionConfig(), nil },
	}
}

// connectionConfig returns the TLS configuration of one accepted connection.
func (s *Store) connectionConfig() *tls.Config {
	pair, authorities := s.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}}
	if authorities != nil {
		c.ClientCAs, c.ClientAuth = authorities, tls.RequireAndVerifyClientCert
	}
	return c
}

// HTTPClient returns a client that presents the certificate and trusts the authority.
func (s *Store) HTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		pair, authorities := s.current()
		dialer := tls.Dialer{Config: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, RootCAs: authorities,
		}}
		return dialer.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: transport}
}

// current returns the certificate, reloaded if a file has changed.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.statFiles()
	if times != s.modTimes {
		if err := s.load(times); err != nil {
			s.onLoadError(err)
		}
	}
	return s.pair, s.authorities
}

// statFiles returns the modification time of each file, or the zero time if it can't be
// read.
func (s *Store) statFiles() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// load replaces the certificate if the files are valid and match, with s.mu held. It
// records the times in any case, so that an error is reported once for each change.
func (s *Store) load(times [3]time.Time) error {
	s.modTimes = times
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Annotatef(err, "certificate %s", s.files.Certificate)
	}
	authorities, err := readAuthorities(s.files.Authority)
	if err != nil {
		return err
	}
	s.pair, s.authorities = &pair, authorities
	return nil
}

func readAuthorities(name string) (*x509.CertPool, error) {
	if name == "" {
		return nil, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("authority %s (want certificates in PEM)", name)
	}
	return pool, nil
}
