package publish

import (
	"fmt"
	"unicode/utf8"
)

// Limits on the fields of requests.
const (
	// MaxHistoryRows is the largest number of rows in the reply to
	// ReadHistory.
	MaxHistoryRows = 200
	// MaxIDBytes is the length limit of an operation ID, in bytes.
	MaxIDBytes = 64
	// MaxOperatorBytes is the length limit of an operator's name, in bytes.
	MaxOperatorBytes = 128
	// MaxNoteBytes is the length limit of a note or reason, in bytes.
	MaxNoteBytes = 1024
)

// rejected returns the reply to an invalid request.
func rejected(format string, args ...any) *Reply {
	return &Reply{Status: Rejected, Detail: fmt.Sprintf(format, args...)}
}

// checkID rejects IDs that are empty, too long, or contain characters other
// than letters, digits, '-' and '_', since IDs become parts of row keys. It
// returns nil for a valid ID; what names the ID in the reply.
func checkID(what, id string) *Reply {
	if id == "" || len(id) > MaxIDBytes {
		return rejected("%s has %d bytes, want 1 to %d", what, len(id), MaxIDBytes)
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return rejected("%s %q: want letters, digits, '-' and '_'", what, id)
		}
	}
	return nil
}

// checkText rejects text that is too long or not valid UTF-8, and returns nil
// for other text; what names the text in the reply.
func checkText(what, text string, limit int) *Reply {
	if len(text) > limit {
		return rejected("%s has %d bytes, the limit is %d", what, len(text), limit)
	}
	if !utf8.ValidString(text) {
		return rejected("%s is not valid UTF-8", what)
	}
	return nil
}

// firstRefusal returns the first reply that is not nil.
func firstRefusal(replies ...*Reply) *Reply {
	for _, reply := range replies {
		if reply != nil {
			return reply
		}
	}
	return nil
}
