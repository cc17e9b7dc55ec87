package guavanode

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"guavaridge/io/guavacertificate"
)

// security holds the gRPC options that follow from the certificates in the settings.
type security struct {
	// peerOptions and operatorOptions are for servers; dialOption is for connections to other VMs.
	peerOptions, operatorOptions []grpc.ServerOption
	dialOption                   grpc.DialOption
}

// newSecurity loads the certificates of the settings. Without certificates, connections are not encrypted.
func (n *Node) newSecurity() (security, error) {
	s := security{dialOption: grpc.WithTransportCredentials(insecure.NewCredentials())}
	log := n.log.Named("tls")
	if m := n.settings.Mutual; m.Enabled() {
		server, client, err := guavacertificate.Mutual(m.Cert, m.Key, m.CA, log)
		if err != nil {
			return s, errors.Newf("load certificates for other VMs: %w", err)
		}
		s.peerOptions = []grpc.ServerOption{grpc.Creds(credentials.NewTLS(server))}
		s.dialOption = grpc.WithTransportCredentials(credentials.NewTLS(client))
	}
	if t := n.settings.TLS; t.Enabled() {
		c, err := guavacertificate.New(t.Cert, t.Key, log)
		if err != nil {
			return s, errors.Newf("load certificate for operators: %w", err)
		}
		s.operatorOptions = []grpc.ServerOption{grpc.Creds(credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: c.GetCertificate}))}
	}
	return s, nil
}
