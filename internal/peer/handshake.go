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

const challengeLength = 32

// The roles that enter a proof, so that neither end can use the other's proof as its own.
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

func newChallenge() []byte {
	nonce := make([]byte, challengeLength)
	_, _ = rand.Read(nonce)
	return nonce
}

func prove(secret []byte, role, address string, first, second []byte) []byte {
	code := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), []byte(address), first, second} {
		code.Write([]byte{byte(len(part))})
		code.Write(part)
	}
	return code.Sum(nil)
}

// introduce proves to the listener that this node knows the secret, and checks that the listener does.
func introduce(ctx context.Context, connection *websocket.Conn, secret []byte, self string) error {
	var challenge challengeWire
	if err := readWire(ctx, connection, &challenge); err != nil {
		return errors.Trace(err)
	}
	nonce := newChallenge()
	introduction := introductionWire{
		Address: self,
		Nonce:   nonce,
		Proof:   prove(secret, dialerRole, self, challenge.Nonce, nonce),
	}
	if err := writeWire(ctx, connection, introduction); err != nil {
		return errors.Trace(err)
	}
	var answer proofWire
	if err := readWire(ctx, connection, &answer); err != nil {
		return errors.Trace(err)
	}
	if !hmac.Equal(answer.Proof, prove(secret, listenerRole, self, nonce, challenge.Nonce)) {
		return errors.Unauthorizedf("listener without the secret")
	}
	return nil
}

// admit checks that the dialer knows the secret and returns its address.
func admit(ctx context.Context, connection *websocket.Conn, secret []byte) (string, error) {
	nonce := newChallenge()
	if err := writeWire(ctx, connection, challengeWire{Nonce: nonce}); err != nil {
		return "", errors.Trace(err)
	}
	var introduction introductionWire
	if err := readWire(ctx, connection, &introduction); err != nil {
		return "", errors.Trace(err)
	}
	expected := prove(secret, dialerRole, introduction.Address, nonce, introduction.Nonce)
	if !hmac.Equal(introduction.Proof, expected) {
		return "", errors.Unauthorizedf("dialer without the secret")
	}
	proof := prove(secret, listenerRole, introduction.Address, introduction.Nonce, nonce)
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
