package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/router/internal/settings"
)

// authority signs instances' certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// settings writes an instance's certificate files and returns the settings that
// name them.
func (a authority) settings(t testing.TB, ip string) settings.Peer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.Peer{
		CertFile: file("cert.pem", "CERTIFICATE", der),
		KeyFile:  file("key.pem", "PRIVATE KEY", keyDER),
		CAFile:   file("ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

// config returns the TLS configuration of an instance at ip.
func (a authority) config(t testing.TB, ip string) *tls.Config {
	t.Helper()
	cfg, err := TLSConfig(a.settings(t, ip))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestInstancesExchangeReportsOverTLS checks that instances with certificates
// of one authority accept each other.
func TestInstancesExchangeReportsOverTLS(t *testing.T) {
	ca := newAuthority(t)
	fleet := newFleet(t, 3, func(int) *tls.Config { return ca.config(t, "127.0.0.1") })
	fleet[0].runRound()
	if len(fleet[0].vouches) != 2 {
		t.Errorf("%d reports over TLS, want 2", len(fleet[0].vouches))
	}
}

// TestUntrustedConnectionsAreRejected checks that a client without a
// certificate of the server's authority gets no answer and changes nothing, and
// that a client rejects a server whose certificate is for another IP.
func TestUntrustedConnectionsAreRejected(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	server := newFleet(t, 1, func(int) *tls.Config { return ca.config(t, "127.0.0.1") })[0]
	// A client with the server's authority but no certificate of its own.
	bare := ca.config(t, "127.0.0.1")
	bare.Certificates = nil
	// A client that trusts the server, with a certificate of another authority.
	foreign := other.config(t, "127.0.0.1")
	foreign.RootCAs = bare.RootCAs
	for name, cfg := range map[string]*tls.Config{
		"plaintext": nil, "no certificate": bare, "other authority": foreign,
		"trusts another authority": other.config(t, "127.0.0.1"),
	} {
		p := newConnPool(Config{TLS: cfg}, gometrics.NewCounter(), gometrics.NewCounter())
		err := p.call(context.Background(), server.self.Peer, MethodVouch, VouchParams{From: "x"}, nil)
		p.close()
		if err == nil {
			t.Errorf("%s: got an answer, want an error", name)
		}
		assertUnchanged(t, server, name)
	}
	elsewhere := newFleet(t, 1, func(int) *tls.Config { return ca.config(t, "10.0.0.9") })[0]
	p := newConnPool(Config{TLS: ca.config(t, "127.0.0.1")}, gometrics.NewCounter(), gometrics.NewCounter())
	defer p.close()
	if err := p.call(context.Background(), elsewhere.self.Peer, MethodVouch, VouchParams{From: "x"}, nil); err == nil {
		t.Error("a certificate for another IP was accepted, want an error")
	}
}

// TestTLSConfigRejectsBadFiles checks that a missing or invalid file is an
// error, and that settings without files mean plaintext.
func TestTLSConfigRejectsBadFiles(t *testing.T) {
	good := newAuthority(t).settings(t, "127.0.0.1")
	if cfg, err := TLSConfig(settings.Peer{}); cfg != nil || err != nil {
		t.Errorf("no files: got %v, error %v, want neither", cfg, err)
	}
	noCA, noKey, badCA := good, good, good
	noCA.CAFile, noKey.KeyFile, badCA.CAFile = "/none", "/none", good.KeyFile
	for name, cfg := range map[string]settings.Peer{"ca missing": noCA, "key missing": noKey, "ca is no certificate": badCA} {
		if _, err := TLSConfig(cfg); err == nil {
			t.Errorf("%s: no error, want one", name)
		}
	}
}
