package wire

// FlagIf returns flag if set is true and 0 otherwise.
func FlagIf(flag byte, set bool) byte {
	if set {
		return flag
	}
	return 0
}

// EncodeList returns the encoding of the messages of one envelope: their count,
// followed by what write appends for each. It returns nil if there are none.
func EncodeList[T any](messages []T, write func(m *T, w *Writer)) []byte {
	if len(messages) == 0 {
		return nil
	}
	w := &Writer{}
	w.Uint(uint64(len(messages)))
	for i := range messages {
		write(&messages[i], w)
	}
	return w.Buf
}

// DecodeList decodes the result of EncodeList, with at most limit messages. Its error
// is of type ErrMalformed.
func DecodeList[T any](data []byte, limit uint64, read func(r *Reader) T) ([]T, error) {
	if len(data) == 0 {
		return nil, nil
	}
	r := NewReader(data)
	messages := ReadList(r, limit, func(r *Reader, _ *T) T { return read(r) })
	if err := r.Close(); err != nil {
		return nil, err
	}
	return messages, nil
}

// ReadList reads a count of at most limit and then that many entries. The function
// read gets the previous entry, or a zero value for the first one. The list grows as
// entries are read, so that a large count without data allocates nothing.
func ReadList[T any](r *Reader, limit uint64, read func(r *Reader, prev *T) T) []T {
	count := r.Uint(limit)
	var out []T
	var prev T
	for i := uint64(0); i < count && r.OK(); i++ {
		prev = read(r, &prev)
		out = append(out, prev)
	}
	return out
}
