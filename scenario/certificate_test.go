package scenario_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// certificateCommand writes a self-signed CA certificate for the loopback address
// and its private key: certificate FILE KEYFILE
func certificateCommand(ts *testscript.TestScript, _ bool, args []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "scenario"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	for i, block := range []*pem.Block{{Type: "CERTIFICATE", Bytes: der}, {Type: "PRIVATE KEY", Bytes: keyDER}} {
		ts.Check(os.WriteFile(ts.MkAbs(args[i]), pem.EncodeToMemory(block), 0o600))
	}
}
