package storefeed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// packFrom is from how many bytes of content on an answer is packed: entries of upstreams are much alike, and a list of them shrinks to a tenth.
	packFrom = 2 << 10
	// maxUnpacked bounds an unpacked answer in bytes.
	maxUnpacked = 32 << 20
)

// pack encodes objects in fewer bytes.
func pack(objects []Object) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	if err := json.NewEncoder(w).Encode(objects); err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	return b.Bytes(), nil
}

// unpack decodes what pack encoded.
func unpack(raw []byte) ([]Object, error) {
	r := flate.NewReader(bytes.NewReader(raw))
	var objects []Object
	if err := json.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&objects); err != nil {
		return nil, errors.Wrap(err, "unpack objects")
	}
	return objects, nil
}

// packed keeps the packed answers since some revisions, as long as nothing changes: those who read from a process ask for the same.
type packed map[int64][]byte

// maxPacked bounds the packed answers that are kept of a kind.
const maxPacked = 8

// contentOf is how many bytes the content of some objects has.
func contentOf(objects []Object) int {
	n := 0
	for _, o := range objects {
		n += len(o.Spec)
	}
	return n
}

// answer returns the objects since a revision, packed where they are many.
func (p packed) answer(since int64, objects []Object) (plain []Object, small []byte) {
	if small := p[since]; small != nil {
		return nil, small
	}
	if contentOf(objects) < packFrom {
		return objects, nil
	}
	small, err := pack(objects)
	if err != nil {
		return objects, nil // What the store wrote is JSON; if not, it is the reader's to say.
	}
	if len(p) >= maxPacked {
		clear(p)
	}
	p[since] = small
	return nil, small
}
