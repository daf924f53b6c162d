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
	// macBytes is the length of the truncated HMAC at the start of a token.
	macBytes = 12
	// tokenParts is the number of fields in the body of a token.
	tokenParts = 5
)

// Token identifies a position in a stream of an endpoint.
type Token struct {
	// Endpoint is the endpoint that generates the stream.
	Endpoint string
	// Attempt is the id of the attempt by which the endpoint identifies the stream.
	Attempt string
	// Team is the team that owns the stream.
	Team string
	// Offset is the number of chunks of this attempt before the position.
	Offset int
	// Base is the number of chunks that were delivered by earlier attempts.
	Base int
}

// Signer signs and verifies tokens with a secret that all instances share.
type Signer struct {
	secret []byte
}

// NewSigner returns a Signer that uses secret.
func NewSigner(secret []byte) Signer {
	return Signer{
		secret: secret,
	}
}

// Sign returns the text of t with its signature.
func (s Signer) Sign(t Token) string {
	body := strings.Join([]string{t.Endpoint, t.Attempt, t.Team, strconv.Itoa(t.Offset), strconv.Itoa(t.Base)}, "|")
	raw := append(s.mac(body), body...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Parse returns the token that text encodes, or an error if it is malformed or was not
// signed with the secret of s.
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

// mac returns the truncated HMAC-SHA256 of body.
func (s Signer) mac(body string) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(body))
	return h.Sum(nil)[:macBytes]
}
