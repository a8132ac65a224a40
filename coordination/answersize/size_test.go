package answersize

import (
	"testing"

	"gotest.tools/v3/assert"
)

const service = "drafting"

func TestUnknownServiceIsPredictedByItsBound(t *testing.T) {
	p := New(DefaultParams())
	assert.Equal(t, p.Predict(service, 0), 0.0)
	assert.Equal(t, p.Predict(service, 100), 100.0)
	assert.Assert(t, !p.IsLong(service, 100_000))
}

// TestAnswersShorterThanTheirBound learns that callers ask for far more than
// they get: a large bound alone does not make a request long.
func TestAnswersShorterThanTheirBound(t *testing.T) {
	p := New(DefaultParams())
	for range 100 {
		p.Observe(service, 4096, 20)
		p.Observe(service, 64, 18)
	}
	assert.Assert(t, p.Predict(service, 4096) < 25)
	assert.Assert(t, !p.IsLong(service, 4096))
}

func TestLongRequestsAreFound(t *testing.T) {
	p := New(DefaultParams())
	for i := range 200 {
		p.Observe(service, 16, 8)
		if i%10 == 0 {
			p.Observe(service, 800, 400)
			p.Observe(service, 1, 1)
		}
	}
	assert.Assert(t, p.IsLong(service, 800))
	assert.Assert(t, !p.IsLong(service, 16))
	assert.Assert(t, p.Predict(service, 5) <= 5)
}
