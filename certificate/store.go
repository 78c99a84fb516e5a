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
	// onLoadError is told why changed files were not taken.
	onLoadError func(error)

	mu       sync.Mutex
	modTimes [3]time.Time
	// pair and authorities are always from one successful reading.
	pair        *tls.Certificate
	authorities *x509.CertPool
}

// Open reads the files for the first time. Later errors go to warn.
func Open(files Files, onLoadError func(error)) (*Store, error) {
	s := &Store{files: files, onLoadError: onLoadError}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.load(s.statFiles())
}

// TLSConfig returns the configuration of a listener.
func (s *Store) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.connectionConfig(), nil },
	}
}

// connectionConfig returns the configuration of one connection.
func (s *Store) connectionConfig() *tls.Config {
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
	times := s.statFiles()
	if times != s.modTimes {
		if err := s.load(times); err != nil {
			s.onLoadError(err)
		}
	}
	return s.pair, s.authorities
}

// statFiles returns when each file was last changed; one that is missing has the
// zero time.
func (s *Store) statFiles() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// load takes the files if they fit together, with s.mu held. It notes the times
// in any case, so that an error is told once for each change.
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
