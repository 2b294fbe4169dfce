// Package session signs and checks the tokens that callers carry: session
// tokens, which keep a session on its version, and resume tokens, which let
// any daemon continue a stream that was cut. Nothing is stored for either.
package session

import (
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Audiences keep one sort of token from being used as the other.
const (
	audienceSession = "session"
	audienceResume  = "resume"
)

// Session is the content of a session token.
type Session struct {
	Organisation string            `json:"org"`
	Version      config.VersionRef `json:"ver"`
	// Started is when the session began.
	Started time.Time `json:"-"`
}

// Resume is the content of a resume token.
type Resume struct {
	RequestID    string            `json:"req"`
	Organisation string            `json:"org"`
	Version      config.VersionRef `json:"ver"`
	// Address is the upstream that runs the attempt.
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

// Signer signs and checks tokens with the keys of a Keyring.
type Signer struct {
	keys  *Keyring
	clock clockwork.Clock
	// lifetime of session tokens; resume tokens live as long.
	lifetime time.Duration
}

// NewSigner returns a signer whose tokens last for lifetime.
func NewSigner(keys *Keyring, clock clockwork.Clock, lifetime time.Duration) *Signer {
	return &Signer{keys: keys, clock: clock, lifetime: lifetime}
}

// SignSession returns the token of s.
func (s *Signer) SignSession(v Session) (string, error) {
	return s.sign(sessionClaims{Session: v, RegisteredClaims: s.registered(audienceSession, v.Started)})
}

// SignResume returns the token of r.
func (s *Signer) SignResume(r Resume) (string, error) {
	return s.sign(resumeClaims{Resume: r, RegisteredClaims: s.registered(audienceResume, s.clock.Now())})
}

func (s *Signer) registered(audience string, start time.Time) jwt.RegisteredClaims {
	return jwt.RegisteredClaims{
		Audience:  jwt.ClaimStrings{audience},
		IssuedAt:  jwt.NewNumericDate(start),
		ExpiresAt: jwt.NewNumericDate(start.Add(s.lifetime)),
	}
}

func (s *Signer) sign(claims jwt.Claims) (string, error) {
	key, err := s.keys.Signing()
	if err != nil {
		return "", trace.Wrap(err)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims)
	token.Header["kid"] = key.ID
	signed, err := token.SignedString(key.Secret)
	return signed, trace.Wrap(err)
}

// ParseSession checks a session token.
func (s *Signer) ParseSession(token string) (Session, error) {
	var claims sessionClaims
	if err := s.parse(token, audienceSession, &claims); err != nil {
		return Session{}, err
	}
	claims.Session.Started = claims.IssuedAt.Time
	return claims.Session, nil
}

// ParseResume checks a resume token.
func (s *Signer) ParseResume(token string) (Resume, error) {
	var claims resumeClaims
	err := s.parse(token, audienceResume, &claims)
	return claims.Resume, err
}

func (s *Signer) parse(token, audience string, claims jwt.Claims) error {
	_, err := jwt.ParseWithClaims(token, claims, s.secret,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithAudience(audience),
		jwt.WithIssuedAt(),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(s.clock.Now),
		jwt.WithLeeway(time.Minute),
	)
	return trace.Wrap(err)
}

func (s *Signer) secret(t *jwt.Token) (any, error) {
	id, _ := t.Header["kid"].(string)
	key, ok := s.keys.Lookup(id)
	if !ok {
		return nil, trace.NotFound("unknown signing key %q", id)
	}
	return key.Secret, nil
}
