// Package guavacertificate loads TLS certificates from files and loads them again when the files change.
package guavacertificate

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxAge is the longest time for which changed certificate files go unnoticed.
const maxAge = 5 * time.Second

// Certificate is a TLS certificate that is read again when its files change. Use New.
type Certificate struct {
	certFile, keyFile string
	logger            hclog.Logger

	mu      sync.Mutex
	loaded  *tls.Certificate
	stamp   [2]fileStamp
	checked time.Time
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	changed time.Time
	size    int64
}

// New loads a certificate and its key from PEM files.
func New(certFile, keyFile string, logger hclog.Logger) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, logger: logger}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificate) load() error {
	stamp, err := c.stat()
	if err != nil {
		return err
	}
	loaded, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.loaded, c.stamp, c.checked = &loaded, stamp, time.Now()
	return nil
}

func (c *Certificate) stat() (stamp [2]fileStamp, err error) {
	for i, name := range [...]string{c.certFile, c.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, fmt.Errorf("look at certificate: %w", err)
		}
		stamp[i] = fileStamp{changed: info.ModTime(), size: info.Size()}
	}
	return stamp, nil
}

// GetCertificate returns the certificate for a handshake as tls.Config.GetCertificate. While changed files are not a valid pair, as between the
// writing of the two, the one loaded before stays in use.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// GetClientCertificate is like Server, as tls.Config.GetClientCertificate.
func (c *Certificate) GetClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// current returns the certificate in use after a look at the files.
func (c *Certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= maxAge {
		c.checked = now
		if stamp, err := c.stat(); err != nil || stamp != c.stamp {
			if err == nil {
				err = c.load()
			}
			if err != nil {
				c.logger.Warn("keep the certificate in use", "error", err)
			} else {
				c.logger.Info("loaded changed certificate", "file", c.certFile)
			}
		}
	}
	return c.loaded
}
