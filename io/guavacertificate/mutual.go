package guavacertificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Mutual returns the TLS configurations for both ends of connections between VMs. Each end must present a certificate
// issued by the authority in caFile. caFile is read once and not reloaded.
func Mutual(certFile, keyFile, caFile string, logger hclog.Logger) (server, client *tls.Config, err error) {
	c, err := New(certFile, keyFile, logger)
	if err != nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, errors.Newf("read certificate authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return nil, nil, errors.Newf("read certificate authority: %s contains no PEM certificate", caFile)
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: c.GetCertificate, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: c.GetClientCertificate, RootCAs: authority}
	return server, client, nil
}
