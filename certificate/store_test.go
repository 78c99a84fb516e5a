package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/certificate"
)

// writeCertificate writes a self-signed certificate with a serial number.
func writeCertificate(t *testing.T, files certificate.Files, serial int64, modTime time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	store := func(name, form string, data []byte) {
		qt.Assert(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: form, Bytes: data}), 0o600), qt.IsNil)
		qt.Assert(t, os.Chtimes(name, modTime, modTime), qt.IsNil)
	}
	store(files.Certificate, "CERTIFICATE", der)
	store(files.Key, "PRIVATE KEY", keyDER)
}

func TestRenewedCertificateIsLoadedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	files := certificate.Files{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem"), Authority: filepath.Join(dir, "c.pem")}
	start := time.Now().Add(-time.Minute)
	writeCertificate(t, files, 1, start)
	var warnings atomic.Int32
	s, err := certificate.Open(files, func(error) { warnings.Add(1) })
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	server.Listener = tls.NewListener(server.Listener, s.TLSConfig())
	server.Start()
	defer server.Close()
	serial := func() int64 {
		client := s.HTTPClient()
		defer client.CloseIdleConnections()
		response, err := client.Get("https://" + server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		return response.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	qt.Assert(t, serial(), qt.Equals, int64(1))
	writeCertificate(t, files, 2, start.Add(time.Second))
	qt.Assert(t, serial(), qt.Equals, int64(2))

	// An invalid key leaves the previous certificate in use.
	qt.Assert(t, os.WriteFile(files.Key, []byte("torn"), 0o600), qt.IsNil)
	qt.Assert(t, serial(), qt.Equals, int64(2))
	qt.Assert(t, warnings.Load(), qt.Equals, int32(1))

	// A client without a certificate signed by the authority is rejected.
	response, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}).
		Get("https://" + server.Listener.Addr().String())
	if err == nil {
		response.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil)
}

func TestOpenFailsOnMissingFiles(t *testing.T) {
	_, err := certificate.Open(certificate.Files{Certificate: "nowhere", Key: "nowhere"}, nil)
	qt.Assert(t, err, qt.ErrorMatches, "certificate nowhere.*")
}
