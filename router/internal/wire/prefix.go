package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Units in which engines cache prompts.
const (
	// bytesPerToken is the mean length of a token in bytes, for estimates.
	bytesPerToken = 4
	// blockTokens is how many tokens one cached block holds, blockBytes its
	// estimated length in bytes.
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// PromptBlocks hashes a prompt block by block, each hash chained over the ones
// before it: barring collisions, two prompts share the first n hashes if and only
// if they share the first n blocks. A last, partial block has no hash, since
// engines cache only whole blocks. Router and engine use the same function.
func PromptBlocks(messages []Message) []uint64 {
	prompt := flatten(messages)
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var parent [8]byte
	for len(prompt) >= blockBytes {
		hasher := xxhash.New()
		hasher.Write(parent[:])
		hasher.Write(prompt[:blockBytes])
		hash := hasher.Sum64()
		blocks = append(blocks, hash)
		binary.LittleEndian.PutUint64(parent[:], hash)
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// PromptTokens estimates the number of tokens of a prompt, at least 1.
func PromptTokens(messages []Message) int {
	return len(flatten(messages))/bytesPerToken + 1
}

// BlockTokens is the number of tokens in one block of PromptBlocks.
func BlockTokens() int { return blockTokens }

// flatten concatenates the messages. Roles and contents are each terminated by
// a zero byte, so that a boundary between two messages differs from their text.
func flatten(messages []Message) []byte {
	var out []byte
	for _, m := range messages {
		out = append(out, m.Role...)
		out = append(out, 0)
		out = append(out, m.Content...)
		out = append(out, 0)
	}
	return out
}
