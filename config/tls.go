// SPDX-License-Identifier: MIT

package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrAuthority means that a file holds no certificate of an authority.
var ErrAuthority = errors.New("the file holds no certificate in PEM; name the authority's certificate")

// ServerConfig returns what the callers' and operators' addresses use, nil when TLS is not wanted.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if !t.Set() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("read the certificate: %w; name a certificate and its key in PEM", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}, nil
}

// PeerConfig returns what links between entries use in both directions, nil when TLS is not wanted.
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

// LoadAuthority reads the certificates that are trusted.
func LoadAuthority(name string) (*x509.CertPool, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s: %w", name, ErrAuthority)
	}
	return pool, nil
}
