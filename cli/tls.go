package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/juju/errors"
)

// httpClient returns a client that trusts the certificates in a PEM file, or
// those of the system if the name is empty.
func httpClient(authority string) (*http.Client, error) {
	if authority == "" {
		return http.DefaultClient, nil
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("authority %s (want certificates in PEM)", authority)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: transport}, nil
}
