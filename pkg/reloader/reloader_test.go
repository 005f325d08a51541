package reloader

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestPeerAuthentication checks that a host accepts only hosts of the fleet on its
// peer port, and that keys are rotated without a restart.
func TestPeerAuthentication(t *testing.T) {
	fleetCA, otherCA := newTestCA(t), newTestCA(t)
	serverFiles := fleetCA.writeFiles(t, t.TempDir(), PeerName)
	server, err := New(serverFiles)
	assertNoError(t, err, "server")
	t.Run("host of the fleet", func(t *testing.T) {
		assertNoError(t, handshake(t, server, newClientTLS(t, fleetCA.writeFiles(t, t.TempDir(), PeerName))), "handshake")
	})
	t.Run("other CA", func(t *testing.T) {
		assertError(t, handshake(t, server, newClientTLS(t, otherCA.writeFiles(t, t.TempDir(), PeerName))), "handshake")
	})
	t.Run("other name", func(t *testing.T) {
		assertError(t, handshake(t, server, newClientTLS(t, fleetCA.writeFiles(t, t.TempDir(), "example.com"))), "handshake")
	})
	t.Run("no certificate", func(t *testing.T) {
		assertError(t, handshake(t, server, &tls.Config{InsecureSkipVerify: true}), "handshake")
	})
	t.Run("rotated", func(t *testing.T) {
		dir := filepath.Dir(serverFiles.CertFile)
		otherCA.writeFiles(t, dir, PeerName)
		later := time.Now().Add(time.Hour)
		assertNoError(t, os.Chtimes(serverFiles.CertFile, later, later), "touch")
		server.lastCheck = time.Time{}
		assertNoError(t, handshake(t, server, newClientTLS(t, otherCA.writeFiles(t, t.TempDir(), PeerName))), "handshake")
		assertError(t, handshake(t, server, newClientTLS(t, fleetCA.writeFiles(t, t.TempDir(), PeerName))), "old CA")
	})
	t.Run("failed reload keeps the old key", func(t *testing.T) {
		assertNoError(t, os.WriteFile(serverFiles.KeyFile, []byte("nonsense"), 0o600), "overwrite")
		server.lastCheck, server.modTimes = time.Time{}, [3]time.Time{}
		assertNoError(t, handshake(t, server, newClientTLS(t, otherCA.writeFiles(t, t.TempDir(), PeerName))), "handshake")
		assertError(t, server.Err(), "reported error")
	})
}

func newClientTLS(t *testing.T, cfg Config) *tls.Config {
	r, err := New(cfg)
	assertNoError(t, err, "client")
	return r.PeerClientTLS()
}

// handshake connects over loopback and reads one byte, because a TLS 1.3 client
// learns only on its first read that the server rejected its certificate.
func handshake(t *testing.T, server *Reloader, cfg *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err, "listen")
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	assertNoError(t, err, "dial")
	defer clientConn.Close()
	go func() {
		serverConn, err := listener.Accept()
		if err != nil {
			return
		}
		defer serverConn.Close()
		conn := tls.Server(serverConn, server.PeerServerTLS())
		if conn.Handshake() == nil {
			_, _ = conn.Write([]byte{1})
		}
	}()
	conn := tls.Client(clientConn, cfg)
	if err := conn.Handshake(); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err, "key")
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assertNoError(t, err, "CA certificate")
	cert, err := x509.ParseCertificate(der)
	assertNoError(t, err, "parse")
	return testCA{cert, key}
}

// writeFiles issues a certificate for a DNS name and writes it with its key and
// the CA certificate.
func (a testCA) writeFiles(t *testing.T, dir, name string) Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err, "key")
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assertNoError(t, err, "certificate")
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assertNoError(t, err, "encode key")
	cfg := Config{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	for file, block := range map[string]*pem.Block{
		cfg.CertFile: {Type: "CERTIFICATE", Bytes: der},
		cfg.KeyFile:  {Type: "PRIVATE KEY", Bytes: keyDER},
		cfg.CAFile:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		assertNoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600), "write "+file)
	}
	return cfg
}

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

func assertError(t *testing.T, err error, step string) {
	t.Helper()
	if err == nil {
		t.Fatalf("%s: no error", step)
	}
}
