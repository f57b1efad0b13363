package sidecar

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// minCompressBytes is the size from which a row is compressed. Uncompressed, a
	// configuration with hundreds of routes takes a fifth of a second on a link of
	// 10 Mbit/s; compressed, it takes a tenth of that.
	minCompressBytes = 512
	// maxRowBytes bounds the size of a row after decompression.
	maxRowBytes = 8 << 20
)

// Packed is a Change in the form in which nodes send it to each other.
type Packed struct {
	Key      string
	Value    []byte
	Revision platform.Revision
	Deleted  bool
	// Compressed is set if Value is compressed with DEFLATE (RFC 1951).
	Compressed bool
}

func pack(c Change) (Packed, error) {
	p := Packed{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
	if len(c.Value) < minCompressBytes {
		return p, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return p, errorx.Decorate(err, "compress row %s", c.Key)
	}
	if _, err := w.Write(c.Value); err != nil {
		return p, errorx.Decorate(err, "compress row %s", c.Key)
	}
	if err := w.Close(); err != nil {
		return p, errorx.Decorate(err, "compress row %s", c.Key)
	}
	p.Value, p.Compressed = b.Bytes(), true
	return p, nil
}

func unpack(p Packed) (Change, error) {
	c := Change{Row: platform.Row{Key: p.Key, Value: p.Value, Revision: p.Revision}, Deleted: p.Deleted}
	if !p.Compressed {
		return c, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Value)), maxRowBytes+1))
	if err != nil {
		return c, ErrPeer.Wrap(err, "decompress row %s", p.Key)
	}
	if len(value) > maxRowBytes {
		return c, ErrPeer.New("decompress row %s: its size exceeds %d bytes", p.Key, maxRowBytes)
	}
	c.Value = value
	return c, nil
}

func unpackAll(list []Packed) ([]Change, error) {
	changes := make([]Change, 0, len(list))
	for _, p := range list {
		c, err := unpack(p)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}
