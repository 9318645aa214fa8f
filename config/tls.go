// SPDX-License-Identifier: MIT

package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrNoCertificate means that the file of the authority contains no certificate.
var ErrNoCertificate = errors.New("the file contains no PEM certificate; set the file of the authority's certificate")

// ServerConfig returns the TLS configuration of the callers' and operators' addresses, nil if TLS is not enabled.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w; set a certificate and its key in PEM format", t.Certificate, t.Key, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}, nil
}

// PeerConfig returns the TLS configuration of the links between entries, for both the client and the server side, nil if TLS is not
// enabled.
func (t TLS) PeerConfig() (*tls.Config, error) {
	c, err := t.ServerConfig()
	if c == nil || err != nil {
		return nil, err
	}
	pool, err := LoadAuthority(t.Authority)
	if err != nil {
		return nil, err
	}
	c.NextProtos = nil
	c.RootCAs, c.ClientCAs, c.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return c, nil
}

// LoadAuthority reads the certificates to trust from a PEM file.
func LoadAuthority(name string) (*x509.CertPool, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the authority's certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s: %w", name, ErrNoCertificate)
	}
	return pool, nil
}
