package guavafront_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavafront"
)

// writeCertificate writes a self-signed certificate with the serial number and its key, and returns the file names.
func writeCertificate(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{"front"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<32, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for name, b := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
		// Each pair has a distinct modification time, however quickly they are written.
		if err := os.Chtimes(name, time.Time{}, time.Unix(serial, 0)); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}

// TestCertificateReload guards against a changed certificate that is not reloaded, and against an invalid certificate
// file, as during a write, that replaces the current certificate.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := writeCertificate(t, dir, 1)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, defaultEngine, guavafront.WithTLS(certFile, keyFile))
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := r.network.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tls.Client(c, &tls.Config{InsecureSkipVerify: true}), nil //nolint:gosec // the test's own certificate
		}
		// serial sends a request on a new connection and returns the serial number of the server's certificate.
		serial := func() int64 {
			transport := &http.Transport{DialTLSContext: dial}
			defer transport.CloseIdleConnections()
			q, _ := http.NewRequestWithContext(t.Context(), "GET", "https://front:80/v1/models", nil)
			q.Header.Set("Authorization", "Bearer "+r.bankKey)
			a, err := transport.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			if a.StatusCode != 200 {
				t.Error(a.Status)
			}
			return a.TLS.PeerCertificates[0].SerialNumber.Int64()
		}
		if got := serial(); got != 1 {
			t.Errorf("first certificate: got serial number %d, want 1", got)
		}
		if err := os.WriteFile(certFile, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		if got := serial(); got != 1 {
			t.Errorf("with a broken certificate file: got serial number %d, want 1", got)
		}
		writeCertificate(t, dir, 2)
		time.Sleep(6 * time.Second)
		if got := serial(); got != 2 {
			t.Errorf("changed certificate: got serial number %d, want 2", got)
		}
		// A disconnect of the caller is detected on TLS connections too.
		c, err := dial(t.Context(), "tcp", "front:80")
		if err != nil {
			t.Fatal(err)
		}
		body := streamRequest(100_000)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", r.bankKey, len(body), body)
		time.Sleep(time.Second)
		if running, _ := r.engine.Running(); running != 1 {
			t.Errorf("%d streams running, want 1", running)
		}
		c.Close()
		time.Sleep(time.Second)
		if running, _ := r.engine.Running(); running != 0 {
			t.Errorf("%d streams running after the caller disconnected, want 0", running)
		}
	})
	d := guavafront.Dependencies{Snapshot: func() *guavaconfig.Snapshot { return nil }, Dispatcher: &directDispatcher{}}
	if _, err := guavafront.New(d, guavafront.WithTLS(certFile, "missing")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing key file: got %v, want os.ErrNotExist", err)
	}
}
