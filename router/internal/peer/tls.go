package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/settings"
)

// TLSConfig reads the certificates named in the settings; nil if none are
// named, which the settings allow on loopback only. Both sides present a
// certificate of the same authority, and the server's must contain the IP that
// was dialled. The files are read once: to rotate the certificates, replace the
// instances.
func TLSConfig(cfg settings.Peer) (*tls.Config, error) {
	if cfg.CertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "peer.cert_file and peer.key_file")
	}
	pem, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("peer.ca_file %s contains no PEM certificate", cfg.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}
