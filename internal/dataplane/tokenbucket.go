package dataplane

// TokenBucket limits retries: first attempts deposit a part of a token, and
// each retry withdraws a whole one.
type TokenBucket struct{ tokens, capacity float64 }

// NewTokenBucket returns a bucket with at most capacity tokens in it.
func NewTokenBucket(tokens, capacity float64) TokenBucket {
	return TokenBucket{tokens: min(tokens, capacity), capacity: capacity}
}

// Deposit adds tokens, up to the capacity.
func (b *TokenBucket) Deposit(tokens float64) { b.tokens = min(b.capacity, b.tokens+tokens) }

// Withdraw takes one token and reports whether there was one.
func (b *TokenBucket) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Resize sets the capacity. It never adds tokens.
func (b *TokenBucket) Resize(capacity float64) {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Tokens returns how many tokens are in the bucket.
func (b *TokenBucket) Tokens() float64 { return b.tokens }
