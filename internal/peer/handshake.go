package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const nonceBytes = 32

// Each proof covers the role of the end that made it, so that neither end can reflect the other's proof.
const (
	dialerRole   = "dialer"
	listenerRole = "listener"
)

type challengeWire struct {
	Nonce []byte
}

type introductionWire struct {
	Address string
	Nonce   []byte
	Proof   []byte
}

type proofWire struct {
	Proof []byte
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// computeProof signs the parts with HMAC-SHA256 under the secret. Each part is preceded
// by its length in one byte, so that the boundaries between parts are signed too.
func computeProof(secret []byte, role, address string, first, second []byte) []byte {
	signature := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), []byte(address), first, second} {
		signature.Write([]byte{byte(len(part))})
		signature.Write(part)
	}
	return signature.Sum(nil)
}

// authenticateListener runs the dialer's side of the handshake: it proves knowledge of the
// secret to the listener and verifies the listener's proof.
func authenticateListener(ctx context.Context, connection *websocket.Conn, secret []byte, self string) error {
	var challenge challengeWire
	if err := readWire(ctx, connection, &challenge); err != nil {
		return errors.Trace(err)
	}
	nonce := newNonce()
	introduction := introductionWire{
		Address: self,
		Nonce:   nonce,
		Proof:   computeProof(secret, dialerRole, self, challenge.Nonce, nonce),
	}
	if err := writeWire(ctx, connection, introduction); err != nil {
		return errors.Trace(err)
	}
	var answer proofWire
	if err := readWire(ctx, connection, &answer); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(answer.Proof, computeProof(secret, listenerRole, self, nonce, challenge.Nonce)) {
		return errors.Unauthorizedf("the listener's proof does not match the peer secret")
	}
	return nil
}

// authenticateDialer runs the listener's side of the handshake: it verifies the dialer's proof,
// answers with its own, and returns the address that the dialer states.
func authenticateDialer(ctx context.Context, connection *websocket.Conn, secret []byte) (string, error) {
	nonce := newNonce()
	if err := writeWire(ctx, connection, challengeWire{Nonce: nonce}); err != nil {
		return "", errors.Trace(err)
	}
	var introduction introductionWire
	if err := readWire(ctx, connection, &introduction); err != nil {
		return "", errors.Trace(err)
	}
	expected := computeProof(secret, dialerRole, introduction.Address, nonce, introduction.Nonce)
	if !hmac.Equal(introduction.Proof, expected) {
		return "", errors.Unauthorizedf("the dialer's proof does not match the peer secret")
	}
	proof := computeProof(secret, listenerRole, introduction.Address, introduction.Nonce, nonce)
	return introduction.Address, writeWire(ctx, connection, proofWire{Proof: proof})
}

func readWire(ctx context.Context, connection *websocket.Conn, wire any) error {
	_, data, err := connection.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(cbor.Unmarshal(data, wire))
}

func writeWire(ctx context.Context, connection *websocket.Conn, wire any) error {
	data, err := cbor.Marshal(wire)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(connection.Write(ctx, websocket.MessageBinary, data))
}
