// Package prefix identifies the nested prefixes of prompts by hashes, and
// records which engines hold them in their caches.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

const (
	// bytesPerToken is the assumed mean length of a token in bytes.
	bytesPerToken = 4
	// messageTokens is the number of tokens that a chat template adds to each
	// message.
	messageTokens = 4
	// firstBlockBytes is the length of the first block of a prompt without
	// messages, in bytes. Each further boundary is at twice the length of the
	// one before.
	firstBlockBytes = 512 * bytesPerToken
)

// Scope identifies the requests that may share cached state. Requests of
// different scopes must never share any.
type Scope struct {
	Account        string
	Model          string
	WeightsVersion string
	Adapter        string
}

// Seed returns the hash of the scope, which is the seed of the hashes that Levels
// uses as keys.
func (s Scope) Seed() uint64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, s.Account)
	writeField(&d, s.Model)
	writeField(&d, s.WeightsVersion)
	writeField(&d, s.Adapter)
	return d.Sum64()
}

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Prompt is the input of a request to the engine: chat messages, or a plain
// text if there are none.
type Prompt struct {
	Messages []Message
	Text     string
}

// Tokens estimates the number of tokens in n bytes of text.
func Tokens(n int) uint32 { return uint32((n + bytesPerToken - 1) / bytesPerToken) }

// Levels returns the nested levels of a prompt, shallowest first. The key of a
// level is a hash of the scope, the level and all levels before it. The last
// level is the whole prompt.
func Levels(s Scope, p Prompt) []*wire.PrefixLevel {
	if len(p.Messages) > 0 {
		return chatLevels(s, p.Messages)
	}
	return blockLevels(s, p.Text)
}

// chatLevels ends a level after each of four parts of the messages, unless the
// part is empty: the instruction (leading system messages), the context (the
// messages up to the first answer, without the question), the history, and the
// question (from the last user message on).
func chatLevels(s Scope, messages []Message) []*wire.PrefixLevel {
	instruction := leadingSystemMessages(messages)
	question := lastUser(messages)
	context := max(instruction, min(firstAnswer(messages), question))
	cuts := [...]int{instruction, context, question, len(messages)}

	var d xxhash.Digest
	d.ResetWithSeed(s.Seed())
	levels := make([]*wire.PrefixLevel, 0, len(cuts))
	tokens, done := uint32(0), 0
	for _, cut := range cuts {
		if cut <= done {
			continue
		}
		for _, m := range messages[done:cut] {
			writeField(&d, m.Role)
			writeField(&d, m.Content)
			tokens += Tokens(len(m.Content)) + messageTokens
		}
		done = cut
		levels = append(levels, &wire.PrefixLevel{Key: d.Sum64(), Tokens: tokens})
	}
	return levels
}

// blockLevels ends a level at each length of firstBlockBytes, twice as much and
// so on, and at the end of the text.
func blockLevels(s Scope, text string) []*wire.PrefixLevel {
	if text == "" {
		return nil
	}
	var d xxhash.Digest
	d.ResetWithSeed(s.Seed())
	var levels []*wire.PrefixLevel
	done := 0
	for cut := firstBlockBytes; done < len(text); cut *= 2 {
		end := min(cut, len(text))
		d.WriteString(text[done:end])
		done = end
		levels = append(levels, &wire.PrefixLevel{Key: d.Sum64(), Tokens: Tokens(done)})
	}
	return levels
}

// leadingSystemMessages returns the number of system messages at the start.
func leadingSystemMessages(messages []Message) int {
	for i, m := range messages {
		if m.Role != "system" && m.Role != "developer" {
			return i
		}
	}
	return len(messages)
}

// firstAnswer returns the index of the first message of the assistant; the
// number of messages if there is none.
func firstAnswer(messages []Message) int {
	for i, m := range messages {
		if m.Role == "assistant" {
			return i
		}
	}
	return len(messages)
}

// lastUser returns the index of the last user message; 0 if there is none.
func lastUser(messages []Message) int {
	for i := len(messages) - 1; i > 0; i-- {
		if messages[i].Role == "user" {
			return i
		}
	}
	return 0
}

// writeField hashes a field with its length before it. Otherwise two lists of
// fields that differ only in the boundary between two fields would have the
// same hash.
func writeField(d *xxhash.Digest, field string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	d.Write(length[:])
	d.WriteString(field)
}

// Fingerprint identifies the content of a request for the quarantine of
// requests that crash engines. It is collision resistant, so that a client
// account can't get another request quarantined.
func Fingerprint(account, model string, content []byte) [32]byte {
	digest := sha256.Sum256(content)
	buf := make([]byte, 0, 16+len(account)+len(model)+len(digest))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(account)))
	buf = append(buf, account...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(model)))
	buf = append(buf, model...)
	buf = append(buf, digest[:]...)
	return sha256.Sum256(buf)
}
