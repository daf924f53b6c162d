package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
)

const (
	// macBytes is the length of the signature in a token.
	macBytes = 12
	// tokenParts is the number of parts of a token's body.
	tokenParts = 5
)

// Token names a place in a stream of an endpoint.
type Token struct {
	// Endpoint is the endpoint that makes the stream.
	Endpoint string
	// Attempt is the id of the stream at the endpoint.
	Attempt string
	// Team is whose stream it is.
	Team string
	// Offset is the number of chunks of the attempt up to this place.
	Offset int
	// Base is the number of chunks that came in attempts before this one.
	Base int
}

// Signer makes and checks tokens with a secret that all instances share.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer with the given secret.
func NewSigner(secret []byte) Signer {
	return Signer{
		secret: secret,
	}
}

// Sign returns t as text.
func (s Signer) Sign(t Token) string {
	body := strings.Join([]string{t.Endpoint, t.Attempt, t.Team, strconv.Itoa(t.Offset), strconv.Itoa(t.Base)}, "|")
	raw := append(s.mac(body), body...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Parse returns the token of text, or an error where this secret did not sign it.
func (s Signer) Parse(text string) (Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < macBytes {
		return Token{}, fmt.Errorf("event id %.40q is malformed: send the last id that was received", text)
	}
	body := string(raw[macBytes:])
	if !hmac.Equal(raw[:macBytes], s.mac(body)) {
		return Token{}, fmt.Errorf("event id %.40q has a wrong signature: send the last id that was received", text)
	}
	parts := strings.Split(body, "|")
	if len(parts) != tokenParts {
		return Token{}, fmt.Errorf("event id %.40q has %d parts: send the last id that was received", text, len(parts))
	}
	offset, err := strconv.Atoi(parts[3])
	base, baseErr := strconv.Atoi(parts[4])
	if err != nil || baseErr != nil || offset < 0 || base < 0 {
		return Token{}, fmt.Errorf("event id %.40q has a wrong offset: send the last id that was received", text)
	}
	return Token{
		Endpoint: parts[0],
		Attempt:  parts[1],
		Team:     parts[2],
		Offset:   offset,
		Base:     base,
	}, nil
}

func (s Signer) mac(body string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(body))
	return h.Sum(nil)[:macBytes]
}
