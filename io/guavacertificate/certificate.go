// Package guavacertificate loads TLS certificates from files and reloads them when the files change.
package guavacertificate

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// checkInterval is the minimum time between two checks of the certificate files for changes.
const checkInterval = 5 * time.Second

// Certificate is a TLS certificate that is reloaded when its files change. Use New.
type Certificate struct {
	certFile, keyFile string
	logger            hclog.Logger

	mu       sync.Mutex
	loaded   *tls.Certificate
	versions [2]fileVersion
	checked  time.Time
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
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
	versions, err := c.fileVersions()
	if err != nil {
		return err
	}
	loaded, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	c.loaded, c.versions, c.checked = &loaded, versions, time.Now()
	return nil
}

func (c *Certificate) fileVersions() (versions [2]fileVersion, err error) {
	for i, name := range [...]string{c.certFile, c.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return versions, fmt.Errorf("stat certificate file: %w", err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

// GetCertificate returns the certificate for a handshake, for use as tls.Config.GetCertificate. While changed files are
// not a valid pair, as between the writing of the two, the previously loaded certificate stays in use.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// GetClientCertificate is like GetCertificate, for use as tls.Config.GetClientCertificate.
func (c *Certificate) GetClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// current returns the certificate in use. It first reloads changed files if checkInterval has passed since the last
// check.
func (c *Certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= checkInterval {
		c.checked = now
		if versions, err := c.fileVersions(); err != nil || versions != c.versions {
			if err == nil {
				err = c.load()
			}
			if err != nil {
				c.logger.Warn("certificate reload failed; keeping the previous certificate", "error", err)
			} else {
				c.logger.Info("reloaded changed certificate", "file", c.certFile)
			}
		}
	}
	return c.loaded
}
