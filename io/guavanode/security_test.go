package guavanode_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"guavaridge/io/guavanode"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaschema"
	"guavaridge/io/guavasettings"
	"guavaridge/io/guavastandin"
	"guavaridge/io/guavatransport"
)

// certificate writes a self-signed certificate for 127.0.0.1, which also serves as its CA.
func certificate(t *testing.T) guavasettings.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return guavasettings.Certificate{Cert: cert, Key: write("key.pem", "PRIVATE KEY", private), CA: cert}
}

// reservedNetwork is the loopback network of one VM. Its listeners are open before the VM starts: a free port that is
// determined and released can be taken by a connection or by another VM before it is used.
type reservedNetwork struct {
	guavanode.Network
	listeners map[string]net.Listener
}

// reserve returns a network with listeners on four ports.
func reserve(t *testing.T) (reservedNetwork, guavasettings.Ports) {
	t.Helper()
	n := reservedNetwork{Network: guavatransport.TCP(), listeners: map[string]net.Listener{}}
	var p [4]int
	for i := range p {
		l, err := n.Network.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		p[i] = l.Addr().(*net.TCPAddr).Port
		n.listeners[l.Addr().String()] = l
	}
	return n, guavasettings.Ports{Callers: p[0], Operators: p[1], Peers: p[2], Admin: p[3]}
}

// Listen implements guavanode.Network.
func (n reservedNetwork) Listen(address string) (net.Listener, error) {
	l, ok := n.listeners[address]
	if !ok {
		return nil, fmt.Errorf("listen on %s: the address is not reserved", address)
	}
	return l, nil
}

// TestEncryption guards against VMs that exchange messages with a process whose certificate is from another CA, and
// against operator connections without encryption although a certificate is configured.
func TestEncryption(t *testing.T) {
	mutual, foreign := certificate(t), certificate(t)
	platform := guavastandin.NewPlatform()
	start := func(name, domain string, m guavasettings.Certificate, seeds ...string) guavasettings.Settings {
		network, ports := reserve(t)
		s := guavasettings.Settings{
			Name: name, Address: "127.0.0.1", Domain: domain, Ports: ports, Seeds: seeds, Mutual: m,
			TLS:       guavasettings.Certificate{Cert: mutual.Cert, Key: mutual.Key},
			Operators: []guavasettings.Operator{{Name: "op", Role: "admin", Hash: guavaoperator.HashToken("token")}},
		}.WithDefaults()
		n, err := guavanode.New(s, platform.For(domain, name), guavanode.WithNetwork(network))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := n.Run(ctx); err != nil {
				t.Errorf("run VM %s: %v", name, err)
			}
		}()
		t.Cleanup(func() { cancel(); <-done })
		return s
	}
	a := start("a", "x", mutual)
	start("b", "x", mutual, a.PeerAddress())
	start("c", "x", foreign, a.PeerAddress())

	status := func(ca string) (*guavaschema.StatusReply, error) {
		c, err := guavaoperator.NewClient("token", ca, a.OperatorAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var reply *guavaschema.StatusReply
		err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) (err error) {
			reply, err = o.Status(ctx, &guavaschema.StatusRequest{})
			return err
		})
		return reply, err
	}
	known := func(name string) bool {
		reply, err := status(mutual.CA)
		if err != nil {
			return false
		}
		for _, v := range reply.GetVms() {
			if v.GetName() == name {
				return true
			}
		}
		return false
	}
	for i := 0; !known("b"); i++ {
		if i == 100 {
			t.Fatal("VM with a certificate of the same CA: got unknown, want known")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // the exchange repeats every second, so the third VM has tried to connect
	if known("c") {
		t.Error("VM with a certificate of another CA: got known, want unknown")
	}
	if _, err := status(""); err == nil {
		t.Error("operator connection without encryption: got no error, want one")
	}
}
