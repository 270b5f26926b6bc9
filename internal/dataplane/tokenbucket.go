package dataplane

// TokenBucket limits retries: each first attempt deposits a fraction of a token, and
// each retry withdraws one token.
type TokenBucket struct{ tokens, capacity float64 }

// NewTokenBucket returns a bucket that starts with tokens, but at most capacity.
func NewTokenBucket(tokens, capacity float64) TokenBucket {
	return TokenBucket{tokens: min(tokens, capacity), capacity: capacity}
}

// Deposit adds tokens, up to the capacity.
func (b *TokenBucket) Deposit(tokens float64) { b.tokens = min(b.capacity, b.tokens+tokens) }

// Withdraw takes one token if there is one, and reports whether it did.
func (b *TokenBucket) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Resize sets the capacity and removes tokens above it. It never adds tokens.
func (b *TokenBucket) Resize(capacity float64) {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Tokens returns how many tokens are in the bucket.
func (b *TokenBucket) Tokens() float64 { return b.tokens }
