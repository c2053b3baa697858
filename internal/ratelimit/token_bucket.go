package ratelimit

import "pipitgap/internal/monotime"

// TokenBucket is a token bucket for rate limiting. It is full at its first use.
type TokenBucket struct {
	Rate  float64 // tokens added per second
	Burst float64 // maximum number of tokens

	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// WaitTime returns how long to wait until n tokens are available; 0 if they are available now. If n exceeds
// the burst, a full bucket suffices.
func (b *TokenBucket) WaitTime(now monotime.Micros, n float64) monotime.Micros {
	if !b.started {
		b.start()
		b.refilledAt = now
	}
	if now > b.refilledAt {
		b.tokens = min(b.Burst, b.tokens+b.Rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	n = min(n, b.Burst)
	if b.tokens >= n {
		return 0
	}
	return monotime.FromSeconds((n-b.tokens)/b.Rate) + 1
}

// Take removes n tokens; the number of tokens may become negative.
func (b *TokenBucket) Take(n float64) {
	if !b.started {
		b.start()
	}
	b.tokens -= n
}

// Empty removes all tokens after the service has throttled a call. It doesn't change a negative number of
// tokens.
func (b *TokenBucket) Empty() { b.tokens = min(b.tokens, 0) }

func (b *TokenBucket) start() { b.started, b.tokens = true, b.Burst }
