// Package reloader serves TLS certificates from files and reads them again when
// they change, so that keys are rotated without a restart.
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

// PeerName is the DNS name that the certificate of every host carries. Hosts
// are replaced at any time and known by IP numbers that change, so the name
// says that the bearer is a host of the fleet, not which one.
const PeerName = "host.catkindyke"

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// ErrNoCA says that a CA file holds no certificate.
var ErrNoCA = errors.New("no certificate in CA file")

// Config names the files, all PEM.
type Config struct {
	// CertFile holds the certificate chain.
	CertFile string
	// KeyFile holds the private key.
	KeyFile string
	// CAFile holds the certificates that sign hosts' certificates; not needed towards callers.
	CAFile string
}

// Reloader holds the newest good certificates. When changed files cannot be
// read, the earlier ones stay in use.
type Reloader struct {
	cfg Config

	mu        sync.Mutex
	cert      *tls.Certificate
	roots     *x509.CertPool
	modTimes  [3]time.Time
	lastCheck time.Time
	loadErr   error
}

// New reads the files once and fails when they are not good.
func New(cfg Config) (*Reloader, error) {
	r := &Reloader{cfg: cfg}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Err returns why the newest change of the files could not be used, nil when it could.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadErr
}

// CallerTLS returns the server side for callers.
func (r *Reloader) CallerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// PeerServerTLS returns the server side of mutual TLS between hosts.
func (r *Reloader) PeerServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: r.peerVerifier(x509.ExtKeyUsageClientAuth),
	}
}

// PeerClientTLS returns the client side of mutual TLS between hosts.
func (r *Reloader) PeerClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.currentCert(), nil },
		// The standard check uses a fixed pool; verify does the same check with the newest one.
		InsecureSkipVerify: true,
		VerifyConnection:   r.peerVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// peerVerifier checks the other host's chain, name and use against the newest CA file.
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

// reloadIfChanged reads the files again when one of them changed; r.mu is held.
func (r *Reloader) reloadIfChanged() {
	if time.Since(r.lastCheck) < checkInterval {
		return
	}
	r.lastCheck = time.Now()
	if modTimes, err := r.readModTimes(); err != nil || modTimes != r.modTimes {
		r.loadErr = r.load()
	}
}

// load replaces the certificates if all files are good.
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

// readModTimes returns the times at which the files were changed.
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
