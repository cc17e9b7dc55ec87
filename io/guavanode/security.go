package guavanode

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"guavaridge/io/guavacertificate"
)

// security holds the options of gRPC servers and connections that follow from the settings' certificates.
type security struct {
	// peers and operators are for servers, and dial is for connections to other VMs.
	peers, operators []grpc.ServerOption
	dial             grpc.DialOption
}

// newSecurity loads the certificates of the settings. Without certificates, connections are not encrypted.
func (n *Node) newSecurity() (security, error) {
	s := security{dial: grpc.WithTransportCredentials(insecure.NewCredentials())}
	log := n.log.Named("tls")
	if m := n.settings.Mutual; m.Enabled() {
		server, client, err := guavacertificate.Mutual(m.Cert, m.Key, m.CA, log)
		if err != nil {
			return s, errors.Newf("load certificates for other VMs: %w", err)
		}
		s.peers = []grpc.ServerOption{grpc.Creds(credentials.NewTLS(server))}
		s.dial = grpc.WithTransportCredentials(credentials.NewTLS(client))
	}
	if t := n.settings.TLS; t.Enabled() {
		c, err := guavacertificate.New(t.Cert, t.Key, log)
		if err != nil {
			return s, errors.Newf("load certificate for operators: %w", err)
		}
		s.operators = []grpc.ServerOption{grpc.Creds(credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: c.GetCertificate}))}
	}
	return s, nil
}
