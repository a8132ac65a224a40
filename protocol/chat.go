package protocol

import (
	"bytes"
	"encoding/json"
)

// ChatRequest is the part of an OpenAI-compatible chat completion request that
// the system reads. Other members are passed on to the engine unchanged.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatChunk is one server-sent event of a streamed completion.
type ChatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model,omitempty"`
	Choices []ChatChoice `json:"choices"`
	// Retained is set in the last chunk of an answer: it reports whether the result
	// can be read again under its key.
	Retained *bool `json:"retained,omitempty"`
}

// ChatChoice is one choice of a completion: a delta in a stream, a message
// in a complete answer.
type ChatChoice struct {
	Index        int          `json:"index"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// ChatDone is the data of the event that ends a stream.
const ChatDone = "[DONE]"

// ParseChat decodes a chat request. It fails with ErrBadRequest.
func ParseChat(body []byte) (*ChatRequest, error) {
	var r ChatRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&r); err != nil {
		return nil, ErrBadRequest.New("malformed JSON: %v", err)
	}
	if r.Model == "" {
		return nil, ErrBadRequest.New("member model is missing")
	}
	if len(r.Messages) == 0 {
		return nil, ErrBadRequest.New("member messages is empty")
	}
	if r.MaxTokens < 0 {
		return nil, ErrBadRequest.New("max_tokens is %d, must not be negative", r.MaxTokens)
	}
	return &r, nil
}
