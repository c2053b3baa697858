package ratelimit

import "pipitgap/internal/monotime"

// TokenBucket is a token bucket. It begins full at its first use.
type TokenBucket struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens at most

	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// WaitTime returns how long to wait until n tokens are there, 0 if they are. More tokens than the burst are
// there when the bucket is full.
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

// Take uses n tokens; the bucket may go into debt.
func (b *TokenBucket) Take(n float64) {
	if !b.started {
		b.start()
	}
	b.tokens -= n
}

// Empty empties the bucket, after the other side has refused a call as one too many.
func (b *TokenBucket) Empty() { b.tokens = min(b.tokens, 0) }

func (b *TokenBucket) start() { b.started, b.tokens = true, b.Burst }
