package prefix

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Body is the part of the JSON body of a chat or text completion that contains
// the prompt.
type Body struct {
	Messages []ChatMessage   `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// ChatMessage is a message as callers send it. Its content is a string or a
// list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParsePrompt returns the prompt in the JSON body of a chat or text completion.
func ParsePrompt(body []byte) (Prompt, error) {
	var b Body
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, fmt.Errorf("reading the prompt: %w", err)
	}
	return b.ExtractPrompt()
}

// ExtractPrompt returns the prompt. Content parts other than text are included
// as their JSON encoding.
func (b *Body) ExtractPrompt() (Prompt, error) {
	var p Prompt
	for i, m := range b.Messages {
		content, err := messageText(m.Content)
		if err != nil {
			return Prompt{}, fmt.Errorf("reading the content of message %d: %w", i, err)
		}
		p.Messages = append(p.Messages, Message{Role: m.Role, Content: content})
	}
	if len(p.Messages) == 0 && len(b.Prompt) > 0 {
		p.Text = promptText(b.Prompt)
	}
	return p, nil
}

// messageText returns the text of a message's content.
func messageText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if raw[0] == '"' {
		var text string
		err := json.Unmarshal(raw, &text)
		return text, err
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, rawPart := range parts {
		var part contentPart
		if err := json.Unmarshal(rawPart, &part); err != nil {
			return "", err
		}
		if part.Type == "text" {
			b.WriteString(part.Text)
			continue
		}
		b.Write(rawPart)
	}
	return b.String(), nil
}

// promptText returns a prompt that is a string, or the JSON encoding of any
// other prompt.
func promptText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}
