// Package session signs and verifies the tokens that callers send with their
// requests: session tokens, which keep the requests of a session on the same
// model version, and resume tokens, with which any daemon can resume an
// interrupted stream. The tokens contain all state; the daemons store none.
package session

import (
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// The audience claim prevents a session token from being accepted as a resume
// token, and the reverse.
const (
	audienceSession = "session"
	audienceResume  = "resume"
)

// Session is the content of a session token.
type Session struct {
	Organisation string            `json:"org"`
	Version      config.VersionRef `json:"ver"`
	// Started is the time at which the session began. It is sent as the
	// issue time of the token.
	Started time.Time `json:"-"`
}

// Resume is the content of a resume token.
type Resume struct {
	RequestID    string            `json:"req"`
	Organisation string            `json:"org"`
	Version      config.VersionRef `json:"ver"`
	// Address is the address of the upstream that runs the attempt.
	Address string `json:"addr"`
	Attempt string `json:"att"`
	// Session is the session token of the request.
	Session string `json:"ses"`
}

type sessionClaims struct {
	Session
	jwt.RegisteredClaims
}

type resumeClaims struct {
	Resume
	jwt.RegisteredClaims
}

// Signer signs and verifies tokens with the keys of a Keyring.
type Signer struct {
	keys  *Keyring
	clock clockwork.Clock
	// lifetime is the validity of session tokens and of resume tokens.
	lifetime time.Duration
}

// NewSigner returns a signer whose tokens are valid for lifetime.
func NewSigner(keys *Keyring, clock clockwork.Clock, lifetime time.Duration) *Signer {
	return &Signer{keys: keys, clock: clock, lifetime: lifetime}
}

// SignSession returns the signed session token of v. It expires after the
// signer's lifetime, counted from v.Started.
func (s *Signer) SignSession(v Session) (string, error) {
	return s.sign(sessionClaims{Session: v, RegisteredClaims: s.registeredClaims(audienceSession, v.Started)})
}

// SignResume returns the signed resume token of r. It expires after the signer's
// lifetime, counted from now.
func (s *Signer) SignResume(r Resume) (string, error) {
	return s.sign(resumeClaims{Resume: r, RegisteredClaims: s.registeredClaims(audienceResume, s.clock.Now())})
}

func (s *Signer) registeredClaims(audience string, start time.Time) jwt.RegisteredClaims {
	return jwt.RegisteredClaims{
		Audience:  jwt.ClaimStrings{audience},
		IssuedAt:  jwt.NewNumericDate(start),
		ExpiresAt: jwt.NewNumericDate(start.Add(s.lifetime)),
	}
}

func (s *Signer) sign(claims jwt.Claims) (string, error) {
	key, err := s.keys.SigningKey()
	if err != nil {
		return "", trace.Wrap(err)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims)
	token.Header["kid"] = key.ID
	signed, err := token.SignedString(key.Secret)
	return signed, trace.Wrap(err)
}

// ParseSession verifies a session token and returns its content.
func (s *Signer) ParseSession(token string) (Session, error) {
	var claims sessionClaims
	if err := s.parseToken(token, audienceSession, &claims); err != nil {
		return Session{}, err
	}
	claims.Session.Started = claims.IssuedAt.Time
	return claims.Session, nil
}

// ParseResume verifies a resume token and returns its content.
func (s *Signer) ParseResume(token string) (Resume, error) {
	var claims resumeClaims
	err := s.parseToken(token, audienceResume, &claims)
	return claims.Resume, err
}

// parseToken verifies the signature, audience and validity period of token and
// decodes its claims. It tolerates a clock difference of one minute.
func (s *Signer) parseToken(token, audience string, claims jwt.Claims) error {
	_, err := jwt.ParseWithClaims(token, claims, s.verificationKey,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithAudience(audience),
		jwt.WithIssuedAt(),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(s.clock.Now),
		jwt.WithLeeway(time.Minute),
	)
	return trace.Wrap(err)
}

// verificationKey returns the secret of the key that t names in its header. It is
// a jwt.Keyfunc.
func (s *Signer) verificationKey(t *jwt.Token) (any, error) {
	id, _ := t.Header["kid"].(string)
	key, ok := s.keys.Lookup(id)
	if !ok {
		return nil, trace.NotFound("unknown signing key %q", id)
	}
	return key.Secret, nil
}
