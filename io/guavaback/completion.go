package guavaback

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion holds the fields of a completion request that decide how it is served. Other fields pass through
// unread.
type Completion struct {
	Model        string
	Stream       bool
	IncludeUsage bool // stream_options.include_usage
	Choices      int  // n, 1 when absent
	MaxTokens    int  // 0 when absent
	// Prompt is the text of the prompt or of all messages in order.
	Prompt string
	// Resume is the text that was already delivered of a stream.
	Resume string
}

// FieldError is a completion request with a missing or wrong field.
type FieldError struct {
	// Field is the JSON name of the field, or "" when the body is not a JSON object.
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return e.Field + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// text is a string, a list of strings or token numbers, or a list of parts that have a text.
type text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(data []byte) error {
	switch {
	case data[0] == '"':
		return json.Unmarshal(data, (*string)(t))
	case data[0] == 'n':
		return nil
	case data[0] != '[':
		return errors.New("expected a string or a list")
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		var part struct {
			Text string `json:"text"`
		}
		if p[0] >= '0' && p[0] <= '9' { // token number
			b.Write(p)
			b.WriteByte(' ')
			continue
		}
		target := any(&part)
		if p[0] != '{' {
			target = &part.Text
		}
		if err := json.Unmarshal(p, target); err != nil {
			return errors.New("expected a list of strings or text parts")
		}
		b.WriteString(part.Text)
	}
	*t = text(b.String())
	return nil
}

type completionBody struct {
	Model    *string `json:"model"`
	Stream   bool    `json:"stream"`
	Prompt   *text   `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content text   `json:"content"`
	} `json:"messages"`
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	N                   *int `json:"n"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Resume string `json:"resume"`
}

// ParseCompletion reads the body of a request to a completion path. chat is true for /v1/chat/completions. The
// error is a *FieldError.
func ParseCompletion(body []byte, chat bool) (Completion, error) {
	var b completionBody
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return Completion{}, &FieldError{Err: errors.New("the body is not a JSON object")}
	}
	if err := json.Unmarshal(body, &b); err != nil {
		if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return Completion{}, &FieldError{Field: t.Field, Err: fmt.Errorf("expected %s, got %s", t.Type, t.Value)}
		}
		return Completion{}, &FieldError{Err: fmt.Errorf("the body is not valid JSON: %w", err)}
	}
	c := Completion{Stream: b.Stream, Choices: 1, Resume: b.Resume}
	if b.Model == nil || *b.Model == "" {
		return Completion{}, &FieldError{Field: "model", Err: errors.New("the field is required")}
	}
	c.Model = *b.Model
	if b.StreamOptions != nil {
		c.IncludeUsage = b.StreamOptions.IncludeUsage
	}
	if chat {
		if len(b.Messages) == 0 {
			return Completion{}, &FieldError{Field: "messages", Err: errors.New("at least one message is required")}
		}
		var s strings.Builder
		for _, m := range b.Messages {
			s.WriteString(m.Role)
			s.WriteString(": ")
			s.WriteString(string(m.Content))
			s.WriteByte('\n')
		}
		c.Prompt = s.String()
	} else {
		if b.Prompt == nil {
			return Completion{}, &FieldError{Field: "prompt", Err: errors.New("the field is required")}
		}
		c.Prompt = string(*b.Prompt)
	}
	for name, v := range map[string]*int{
		"n": b.N, "max_tokens": b.MaxTokens, "max_completion_tokens": b.MaxCompletionTokens,
	} {
		if v == nil {
			continue
		}
		if *v < 1 {
			return Completion{}, &FieldError{Field: name, Err: errors.New("must be at least 1")}
		}
		if name == "n" {
			c.Choices = *v
		} else {
			c.MaxTokens = *v
		}
	}
	return c, nil
}

// PrefixBlockBytes is the length in bytes of the blocks in which prefix caches are described.
const PrefixBlockBytes = 256

// Prefixes returns the identifiers, as used in cache events, of the prefixes of prompt that end at block
// boundaries, shortest first and at most limit. A prompt shorter than a block has none.
func Prefixes(model, prompt string, limit int) []string {
	n := min(len(prompt)/PrefixBlockBytes, limit)
	if n == 0 {
		return nil
	}
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	ids := make([]string, n)
	for i := range ids {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		ids[i] = strconv.FormatUint(d.Sum64(), 16)
	}
	return ids
}
