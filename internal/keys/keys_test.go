package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/keys"
)

// authority is a certificate authority for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	raw := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	return path
}

// issue returns the configuration of a process with a certificate that a signed.
func (a *authority) issue(t *testing.T, name string) keys.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return keys.Config{
		Secret:   "s",
		CertFile: a.write(t, name+".pem", "CERTIFICATE", der),
		KeyFile:  a.write(t, name+"-key.pem", "EC PRIVATE KEY", rawKey),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

func serve(t *testing.T, c keys.Config) string {
	pair, err := keys.LoadCertificate(c)
	require.NoError(t, err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", pair.ServerConfig())
	require.NoError(t, err)
	s := &http.Server{
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }),
		ErrorLog: nil,
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func get(address string, config *tls.Config) error {
	dial := &tls.Dialer{NetDialer: &net.Dialer{Timeout: 5 * time.Second}, Config: config}
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true}}
	resp, err := c.Get("http://" + address)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// TestMutualTLSRequiresSameAuthority guards against connections with processes of another authority or without a
// certificate. Both the server and the client must verify the peer.
func TestMutualTLSRequiresSameAuthority(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	address := serve(t, ours.issue(t, "server"))

	trusted, err := keys.LoadCertificate(ours.issue(t, "friend"))
	require.NoError(t, err)
	require.NoError(t, get(address, trusted.ClientConfig()))

	untrusted, err := keys.LoadCertificate(others.issue(t, "stranger"))
	require.NoError(t, err)
	require.Error(t, get(address, untrusted.ClientConfig()), "client certificate of another authority")

	untrustedServer := serve(t, others.issue(t, "impostor"))
	require.Error(t, get(untrustedServer, trusted.ClientConfig()), "server certificate of another authority")

	withoutCert := trusted.ClientConfig()
	withoutCert.GetClientCertificate = nil
	require.Error(t, get(address, withoutCert), "no client certificate")
}

// TestOnlyCurrentAndPreviousSecretAreAccepted guards against messages that are rejected while a secret is being replaced,
// and against an unset previous secret that matches an empty one.
func TestOnlyCurrentAndPreviousSecretAreAccepted(t *testing.T) {
	c := keys.Config{Secret: "new", PreviousSecret: "old"}
	for secret, want := range map[string]bool{"new": true, "old": true, "other": false, "": false} {
		h := http.Header{}
		sender := keys.Config{Secret: secret}
		sender.Authorize(h)
		require.Equal(t, want, c.Authorized(h), "secret %q", secret)
	}
	withoutPrevious := keys.Config{Secret: "new"}
	h := http.Header{}
	h.Set("Authorization", "Bearer ")
	require.False(t, withoutPrevious.Authorized(h), "an unset previous secret must not match an empty one")
}

// TestCheckNamesIncompleteTLSFilesAndMissingSecret guards against a process that starts with only some of the three TLS
// files, or without a secret, and against an error that does not name the flags.
func TestCheckNamesIncompleteTLSFilesAndMissingSecret(t *testing.T) {
	c := keys.Config{Secret: "s", CertFile: "x"}
	require.ErrorContains(t, c.Check(), "-tls-cert, -tls-key and -tls-ca")
	c = keys.Config{}
	require.ErrorContains(t, c.Check(), "-secret")
}
