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
	// Authority signs the other end's certificate; empty asks for none.
	Authority string
}

// Store holds a certificate as last read from its files. Use Open to make one.
// It is safe for concurrent use.
type Store struct {
	files Files
	// warn is told why changed files were not taken.
	warn func(error)

	mu      sync.Mutex
	changed [3]time.Time
	// pair and authorities are always from one successful reading.
	pair        *tls.Certificate
	authorities *x509.CertPool
}

// Open reads the files for the first time. Later errors go to warn.
func Open(files Files, warn func(error)) (*Store, error) {
	s := &Store{files: files, warn: warn}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.read(s.times())
}

// TLSConfig returns the configuration of a listener.
func (s *Store) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.forClient(), nil },
	}
}

// forClient returns the configuration of one connection.
func (s *Store) forClient() *tls.Config {
	pair, authorities := s.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}}
	if authorities != nil {
		c.ClientCAs, c.ClientAuth = authorities, tls.RequireAndVerifyClientCert
	}
	return c
}

// HTTPClient returns a client that shows the certificate and trusts the authority.
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

// current returns the certificate, read again if a file has changed.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.times()
	if times != s.changed {
		if err := s.read(times); err != nil {
			s.warn(err)
		}
	}
	return s.pair, s.authorities
}

// times returns when each file was last changed; one that is missing has the
// zero time.
func (s *Store) times() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// read takes the files if they fit together, with s.mu held. It notes the times
// in any case, so that an error is told once for each change.
func (s *Store) read(times [3]time.Time) error {
	s.changed = times
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
