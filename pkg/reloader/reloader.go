// Package reloader provides TLS configurations whose certificates are reloaded
// when their files change, so that keys can be rotated without a restart.
package reloader

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// PeerName is the DNS name in the certificate of every host. Hosts are replaced at
// any time and their IP addresses change, so the name identifies the bearer as a
// host of the fleet, but not as a particular host.
const PeerName = "host.catkindyke"

// checkInterval is the minimum interval between checks of the files.
const checkInterval = time.Second

// ErrNoCA is returned if a CA file contains no certificate.
var ErrNoCA = errors.New("no certificate in CA file")

// Config holds the paths of the files, all in PEM format.
type Config struct {
	// CertFile contains the certificate chain.
	CertFile string
	// KeyFile contains the private key.
	KeyFile string
	// CAFile contains the CA certificates for verifying other hosts. CallerTLS does
	// not need it.
	CAFile string
}

// Reloader holds the most recently loaded certificates. If changed files cannot
// be loaded, the previous certificates stay in use.
type Reloader struct {
	cfg Config

	mu        sync.Mutex
	cert      *tls.Certificate
	roots     *x509.CertPool
	modTimes  [3]time.Time
	lastCheck time.Time
	loadErr   error
}

// New loads the files and returns an error if that fails.
func New(cfg Config) (*Reloader, error) {
	r := &Reloader{cfg: cfg}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Err returns the error of the last reload, nil if it succeeded.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadErr
}

// CallerTLS returns the server configuration for connections from callers.
func (r *Reloader) CallerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// PeerServerTLS returns the server configuration for mutual TLS between hosts.
func (r *Reloader) PeerServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: r.peerVerifier(x509.ExtKeyUsageClientAuth),
	}
}

// PeerClientTLS returns the client configuration for mutual TLS between hosts.
func (r *Reloader) PeerClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		// The standard verification uses a fixed CA pool. VerifyConnection does the
		// same verification with the current pool.
		InsecureSkipVerify: true,
		VerifyConnection:   r.peerVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// peerVerifier returns a function that verifies the other host's certificate chain,
// DNS name and key usage with the current CA file.
func (r *Reloader) peerVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("no certificate from the other host")
		}
		opts := x509.VerifyOptions{
			Roots: r.currentRoots(), DNSName: PeerName, KeyUsages: []x509.ExtKeyUsage{usage}, Intermediates: x509.NewCertPool(),
		}
		for _, c := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(opts)
		return err
	}
}

func (r *Reloader) currentCert() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadIfChanged()
	return r.cert
}

func (r *Reloader) currentRoots() *x509.CertPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadIfChanged()
	return r.roots
}

// reloadIfChanged loads the files if one of them has changed. r.mu must be held.
func (r *Reloader) reloadIfChanged() {
	if time.Since(r.lastCheck) < checkInterval {
		return
	}
	r.lastCheck = time.Now()
	if modTimes, err := r.readModTimes(); err != nil || modTimes != r.modTimes {
		r.loadErr = r.load()
	}
}

// load loads the files. It replaces the certificates only if all files are valid.
func (r *Reloader) load() error {
	modTimes, err := r.readModTimes()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.cfg.CertFile, r.cfg.KeyFile)
	if err != nil {
		return fmt.Errorf("%s, %s: %w", r.cfg.CertFile, r.cfg.KeyFile, err)
	}
	var roots *x509.CertPool
	if r.cfg.CAFile != "" {
		pem, err := os.ReadFile(r.cfg.CAFile)
		if err != nil {
			return err
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return fmt.Errorf("%s: %w", r.cfg.CAFile, ErrNoCA)
		}
	}
	r.cert, r.roots, r.modTimes = &cert, roots, modTimes
	return nil
}

// readModTimes returns the modification times of the files.
func (r *Reloader) readModTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, name := range []string{r.cfg.CertFile, r.cfg.KeyFile, r.cfg.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}
