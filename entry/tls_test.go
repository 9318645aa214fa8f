// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/admin"
	"rackstep.dev/config"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// newAuthority makes an authority and one certificate for 127.0.0.1, and returns their files.
func newAuthority(c *quicktest.C) config.TLS {
	dir := c.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, quicktest.IsNil)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, quicktest.IsNil)
	write := func(name, kind string, b []byte) string {
		file := filepath.Join(dir, name)
		c.Assert(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600), quicktest.IsNil)
		return file
	}
	certificate := write("cert.pem", "CERTIFICATE", cert)
	return config.TLS{Certificate: certificate, Key: write("key.pem", "PRIVATE KEY", secret), Authority: certificate}
}

// startEntry runs an entry until the test ends.
func startEntry(c *quicktest.C, name, platform string, files config.TLS, peers []config.Peer) *Entry {
	const anyPort = "127.0.0.1:0"
	e, err := New(config.Settings{
		Entry: name, DataCentre: "a", CallerAddress: anyPort, OperatorAddress: anyPort, PeerAddress: anyPort, Platform: platform,
		PeerSecret: "a-secret-of-the-test", BootstrapTokenHash: serve.TokenHash("boot"), Peers: peers, TLS: files, StopDelay: fleet.Duration(time.Millisecond),
	}, Options{})
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = e.Run(ctx); close(done) }()
	c.Cleanup(func() { cancel(); <-done })
	return e
}

func TestTLSProtectsEveryAddress(t *testing.T) {
	c := quicktest.New(t)
	platform := httptest.NewServer(standin.New())
	c.Cleanup(platform.Close) // after the entries, whose reads wait for records
	files := newAuthority(c)
	first := startEntry(c, "a", platform.URL, files, nil)
	peer := []config.Peer{{Entry: "a", DataCentre: "a", Address: first.Self().PeerAddress}}
	startEntry(c, "b", platform.URL, files, peer)
	startEntry(c, "stranger", platform.URL, newAuthority(c), peer)

	pool, err := config.LoadAuthority(files.Authority)
	c.Assert(err, quicktest.IsNil)
	trusting := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	api := &admin.Client{Address: first.Self().OperatorAddress, Token: "boot", TLS: true, HTTP: trusting}
	conf := fleet.Configuration{
		DataCentres: []fleet.DataCentre{{Name: "a"}}, Operators: []fleet.Operator{{Name: "o", TokenHash: serve.TokenHash("op")}},
	}
	_, err = api.Apply(context.Background(), admin.ApplyRequest{Configuration: conf})
	c.Assert(err, quicktest.IsNil)
	api.Token = "op"
	for { // the link of b and a comes up; the stranger's never does
		st, err := api.Status(context.Background())
		c.Assert(err, quicktest.IsNil)
		if len(st.Entries) == 2 {
			c.Assert(st.Entries[1].Entry, quicktest.Equals, "b")
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	resp, err := trusting.Get("https://" + first.Self().CallerAddress + "/health/ready")
	c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	resp, err = http.Get("http://" + first.Self().CallerAddress + "/health/ready")
	c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, quicktest.Equals, http.StatusBadRequest) // net/http tells a client that speaks in the clear
	plain := &admin.Client{Address: first.Self().OperatorAddress, Token: "op"}
	_, err = plain.Status(context.Background())
	c.Assert(err, quicktest.IsNotNil)
}
