package publish

import (
	"fmt"
	"unicode/utf8"
)

// Limits of a request.
const (
	// MaxHistoryRows is the largest number of rows in one history reply.
	MaxHistoryRows = 200
	// MaxIDBytes is the longest operation ID, in bytes.
	MaxIDBytes = 64
	// MaxOperatorBytes is the longest name of an operator, in bytes.
	MaxOperatorBytes = 128
	// MaxNoteBytes is the longest note or reason, in bytes.
	MaxNoteBytes = 1024
)

// reject returns the reply to an invalid request.
func reject(format string, args ...any) *Reply {
	return &Reply{Status: Rejected, Detail: fmt.Sprintf(format, args...)}
}

// checkID refuses IDs that are empty, too long, or hold characters other than
// letters, digits, '-' and '_'. IDs become parts of row keys.
func checkID(what, id string) *Reply {
	if id == "" || len(id) > MaxIDBytes {
		return reject("%s has %d bytes, want 1 to %d", what, len(id), MaxIDBytes)
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return reject("%s %q: want letters, digits, '-' and '_'", what, id)
		}
	}
	return nil
}

// checkText refuses text that is too long or not UTF-8.
func checkText(what, text string, limit int) *Reply {
	if len(text) > limit {
		return reject("%s has %d bytes, the limit is %d", what, len(text), limit)
	}
	if !utf8.ValidString(text) {
		return reject("%s is not valid UTF-8", what)
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
