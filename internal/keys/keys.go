// Package keys authenticates the system's processes to one another: with a shared secret on every message, and with
// mutual TLS when certificates are configured.
package keys

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
)

// reloadInterval is the minimum time between two checks of the certificate file for a new certificate.
const reloadInterval = time.Minute

// Config holds the secrets and names the files for mutual TLS.
type Config struct {
	// Secret is sent with every message between processes.
	Secret string
	// PreviousSecret is accepted as well, so that a secret can be replaced process by process. Empty for none.
	PreviousSecret string
	// CertFile is the PEM file with this process's certificate. CertFile, KeyFile and CAFile must all be set or all be
	// empty.
	CertFile string
	// KeyFile is the PEM file with the certificate's private key.
	KeyFile string
	// CAFile is the PEM file with the authority that signs the processes' certificates.
	CAFile string
}

// Flags registers the flags of c on fs.
func (c *Config) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Secret, "secret", "", "secret shared by the system's processes; prefer the environment variable")
	fs.StringVar(&c.PreviousSecret, "previous-secret", "", "previous secret, accepted as well while the secret is being replaced")
	fs.StringVar(&c.CertFile, "tls-cert", "", "PEM file with this process's certificate, for mutual TLS between processes")
	fs.StringVar(&c.KeyFile, "tls-key", "", "PEM file with the certificate's private key")
	fs.StringVar(&c.CAFile, "tls-ca", "", "PEM file with the authority that signs the processes' certificates")
}

// Check returns an error for the first setting that is missing or invalid.
func (c *Config) Check() error {
	if c.Secret == "" {
		return code.Errorf(code.BadProcessSetting, "-secret", "empty, want the secret that all processes of the system share")
	}
	given := 0
	for _, f := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return code.Errorf(code.ConflictingSettings, "-tls-cert, -tls-key and -tls-ca", "%d of the three given, want all or none", given)
	}
	return nil
}

// TLS reports whether mutual TLS is configured.
func (c *Config) TLS() bool { return c.CertFile != "" }

// Authorize sets the Authorization header of a message to the secret.
func (c *Config) Authorize(h http.Header) { h.Set("Authorization", "Bearer "+c.Secret) }

// Authorized reports whether a message carries the current or the previous secret.
func (c *Config) Authorized(h http.Header) bool {
	got := []byte(h.Get("Authorization"))
	isCurrent := subtle.ConstantTimeCompare(got, []byte("Bearer "+c.Secret)) == 1
	isPrevious := c.PreviousSecret != "" && subtle.ConstantTimeCompare(got, []byte("Bearer "+c.PreviousSecret)) == 1
	return isCurrent || isPrevious
}

// ReloadingCertificate holds the current certificate and reloads it when its file changes.
type ReloadingCertificate struct {
	config Config
	pool   *x509.CertPool

	mu   sync.Mutex
	cert *tls.Certificate
	// checkedAt is when the certificate file was last checked.
	checkedAt time.Time
	// modifiedAt is the modification time of the file from which cert was loaded.
	modifiedAt time.Time
}

// LoadCertificate reads the certificate, its private key and the authority's certificate.
func LoadCertificate(c Config) (*ReloadingCertificate, error) {
	p := &ReloadingCertificate{config: c, pool: x509.NewCertPool()}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return nil, code.Errorf(code.BadProcessSetting, "-tls-ca", "%v", err)
	}
	if !p.pool.AppendCertsFromPEM(pem) {
		return nil, code.Errorf(code.BadProcessSetting, "-tls-ca", "%s contains no PEM certificate", c.CAFile)
	}
	_, err = p.current(time.Now())
	return p, err
}

// current returns the certificate. It reloads the files if the certificate file has changed; the check is made at most
// once per reloadInterval. If the files can't be read, the last valid certificate stays in use.
func (p *ReloadingCertificate) current(now time.Time) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cert != nil && now.Sub(p.checkedAt) < reloadInterval {
		return p.cert, nil
	}
	p.checkedAt = now
	info, err := os.Stat(p.config.CertFile)
	if err == nil && p.cert != nil && info.ModTime().Equal(p.modifiedAt) {
		return p.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(p.config.CertFile, p.config.KeyFile)
	if loadErr == nil && err == nil {
		p.cert = &cert
		p.modifiedAt = info.ModTime()
		return p.cert, nil
	}
	if p.cert != nil {
		return p.cert, nil
	}
	return nil, errors.Wrap(code.Errorf(code.BadProcessSetting, "-tls-cert and -tls-key", "%v", loadErr), "loading the certificate")
}

// ServerConfig returns the TLS configuration for accepting connections from other processes.
func (p *ReloadingCertificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  p.pool,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current(time.Now())
		},
	}
}

// ClientConfig returns the TLS configuration for calling other processes. Processes are addressed by IP address, so the peer's
// certificate must be signed by the authority, but its name is not checked.
func (p *ReloadingCertificate) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    p.pool,
		NextProtos: []string{"http/1.1"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.current(time.Now())
		},
		// VerifyConnection replaces the default verification: it verifies the chain but not the name.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verify,
	}
}

// verify checks that the peer's certificate chain is signed by the authority.
func (p *ReloadingCertificate) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: p.pool, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verifying the peer's certificate")
}
