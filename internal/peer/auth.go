package peer

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"io"
	"math/big"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Authentication: TLS 1.3 with a certificate generated at each start gives an
// encrypted channel with an unknown peer. Inside it, both sides prove that
// they hold a cluster key by an HMAC over the channel's exported keying
// material, their role and the hellos. The keying material is unique to one
// TLS session and the same at both ends. A recorded hello, a hello relayed by
// a man in the middle and a daemon's own hello sent back to it are therefore
// refused. TLS protects everything that follows.

const (
	// exporterLabel and exporterBytes define the channel binding.
	exporterLabel = "EXPORTER-lycheekeel-peer"
	exporterBytes = 32
	// maxHelloBytes limits what is read from a peer before it is authenticated.
	maxHelloBytes = 1024
	// certificateValidity exceeds the runtime of any daemon. It is not verified.
	certificateValidity = 100 * 365 * 24 * time.Hour
)

// role is part of each proof, so that a proof can't be reflected.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// authError is a failed handshake with the reason to count.
type authError struct {
	reason reason
	err    error
}

func (e *authError) Error() string { return string(e.reason) + ": " + e.err.Error() }

func newAuthError(why reason, format string, args ...any) error {
	return &authError{reason: why, err: errors.Errorf(format, args...)}
}

// newTLSConfig returns the configuration for both roles. Sessions are never
// resumed, so each connection has its own keying material.
func newTLSConfig() (*tls.Config, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "peer"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(0, 0).Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "peer: create certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		MinVersion:   tls.VersionTLS13,
		// Peers are authenticated by the HMAC inside the channel, not by the
		// certificate.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		// One small key share. The default's post-quantum key share doubles the
		// bytes of a dial, and membership keeps dialing.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}, nil
}

// handshakeResult is the outcome of a successful handshake.
type handshakeResult struct {
	peer     Name
	instance uint64
	version  uint32
	replaces bool
}

// authenticator performs both sides of the handshake inside a TLS connection.
type authenticator struct {
	name           Name
	keys           [][]byte
	instance       uint64
	oldest, newest uint32
}

// dial sends this daemon's proof and then verifies the acceptor's.
func (a *authenticator) dial(conn *tls.Conn, to Name, replaces bool) (handshakeResult, error) {
	binding, err := channelBinding(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	ownHello, err := a.marshalHello(to, replaces)
	if err != nil {
		return handshakeResult{}, err
	}
	proof := computeProof(a.keys[0], roleDialer, binding, ownHello)
	if err := writeHello(conn, &wire.SignedHello{Hello: ownHello, Proof: proof}); err != nil {
		return handshakeResult{}, err
	}
	answer, err := readHello(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	if answer.Refusal != "" {
		return handshakeResult{}, newAuthError(authRefused, "peer refused the connection: %.64q", answer.Refusal)
	}
	if !a.verifyProof(answer.Proof, roleAcceptor, binding, ownHello, answer.Hello) {
		return handshakeResult{}, newAuthError(authWrongKey, "proof of the acceptor matches no cluster key")
	}
	return a.checkHello(answer.Hello, to)
}

// accept verifies the dialer's proof and then sends this daemon's. A refusal is
// sent to the dialer as its reason, since an operator looks at the dialer's log.
func (a *authenticator) accept(conn *tls.Conn) (handshakeResult, error) {
	binding, err := channelBinding(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	peerHello, err := readHello(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	if !a.verifyProof(peerHello.Proof, roleDialer, binding, peerHello.Hello) {
		return handshakeResult{}, refuse(conn, newAuthError(authWrongKey, "proof of the dialer matches no cluster key"))
	}
	res, err := a.checkHello(peerHello.Hello, "")
	if err != nil {
		return res, refuse(conn, err)
	}
	ownHello, err := a.marshalHello(res.peer, false)
	if err != nil {
		return res, err
	}
	proof := computeProof(a.keys[0], roleAcceptor, binding, peerHello.Hello, ownHello)
	return res, writeHello(conn, &wire.SignedHello{Hello: ownHello, Proof: proof})
}

// refuse sends the reason of a refusal to the dialer on a best-effort basis, and
// returns err.
func refuse(conn *tls.Conn, err error) error {
	var ae *authError
	if errors.As(err, &ae) {
		_ = writeHello(conn, &wire.SignedHello{Refusal: string(ae.reason)})
	}
	return err
}

func (a *authenticator) marshalHello(to Name, replaces bool) ([]byte, error) {
	h := &wire.Hello{
		Name: string(a.name), Instance: a.instance, Replaces: replaces,
		OldestVersion: a.oldest, NewestVersion: a.newest,
	}
	if _, byAddress := to.Address(); !byAddress {
		h.To = string(to)
	}
	b, err := proto.Marshal(h)
	return b, errors.Wrap(err, "peer: encode hello")
}

// checkHello validates an authenticated hello. expected is the name that was dialed.
func (a *authenticator) checkHello(hello []byte, expected Name) (handshakeResult, error) {
	var h wire.Hello
	if err := proto.Unmarshal(hello, &h); err != nil {
		return handshakeResult{}, newAuthError(authBadHello, "decode hello: %v", err)
	}
	name := Name(h.Name)
	_, nameIsAddress := name.Address()
	_, byAddress := expected.Address()
	version := min(a.newest, h.NewestVersion)
	switch {
	case name == "" || len(name) > maxNameBytes || nameIsAddress:
		return handshakeResult{}, newAuthError(authBadHello, "invalid peer name")
	case name == a.name:
		return handshakeResult{}, newAuthError(authSelf, "peer has the name of this daemon")
	case h.To != "" && Name(h.To) != a.name:
		return handshakeResult{}, newAuthError(authWrongPeer, "peer dialed %q, not this daemon", h.To)
	case expected != "" && !byAddress && name != expected:
		return handshakeResult{}, newAuthError(authWrongPeer, "dialed %q, found %q", expected, name)
	case version < a.oldest || version < h.OldestVersion:
		return handshakeResult{}, newAuthError(authProtocol, "no common protocol version with %q, which supports %d to %d", name, h.OldestVersion, h.NewestVersion)
	}
	return handshakeResult{peer: name, instance: h.Instance, version: version, replaces: h.Replaces}, nil
}

// verifyProof reports whether the proof was made with any of the known keys.
func (a *authenticator) verifyProof(proof []byte, r role, binding []byte, parts ...[]byte) bool {
	ok := false
	for _, k := range a.keys {
		if hmac.Equal(proof, computeProof(k, r, binding, parts...)) {
			ok = true
		}
	}
	return ok
}

// computeProof returns an HMAC-SHA256 over length-prefixed parts, so that no two
// lists of parts have the same input.
func computeProof(key []byte, r role, binding []byte, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, key)
	for _, p := range append([][]byte{[]byte(r), binding}, parts...) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		m.Write(size[:])
		m.Write(p)
	}
	return m.Sum(nil)
}

func channelBinding(conn *tls.Conn) ([]byte, error) {
	if err := conn.Handshake(); err != nil {
		return nil, newAuthError(authTLS, "TLS handshake: %v", err)
	}
	state := conn.ConnectionState()
	b, err := state.ExportKeyingMaterial(exporterLabel, nil, exporterBytes)
	if err != nil {
		return nil, newAuthError(authTLS, "export keying material: %v", err)
	}
	return b, nil
}

func writeHello(w io.Writer, h *wire.SignedHello) error {
	b, err := appendDelimited(nil, h)
	if err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return newAuthError(authTLS, "write hello: %v", err)
	}
	return nil
}

// readHello reads byte by byte, so that it consumes nothing beyond the hello.
func readHello(r io.Reader) (*wire.SignedHello, error) {
	var h wire.SignedHello
	opts := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := opts.UnmarshalFrom(byteReader{r}, &h); err != nil {
		return nil, newAuthError(authBadHello, "read hello: %v", err)
	}
	return &h, nil
}

// byteReader adds ReadByte to an unbuffered reader.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
