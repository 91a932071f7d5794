package storefeed

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

const (
	// minPackedBytes is the minimum content of a response, in bytes, for which it is compressed. The registrations of
	// upstreams are similar to each other, and a list of them shrinks to a tenth.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes is the maximum size of a decompressed response, in bytes.
	maxUnpackedBytes = 32 << 20
)

// pack encodes objects as compressed JSON.
func pack(objects []Object) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing objects")
	}
	if err := json.NewEncoder(w).Encode(objects); err != nil {
		return nil, errors.Wrap(err, "compressing objects")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing objects")
	}
	return b.Bytes(), nil
}

// unpack decodes objects that pack encoded.
func unpack(raw []byte) ([]Object, error) {
	r := flate.NewReader(bytes.NewReader(raw))
	var objects []Object
	if err := json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&objects); err != nil {
		return nil, errors.Wrap(err, "decompressing objects")
	}
	return objects, nil
}

// packedResponses holds compressed objects by the revision since which they were requested. They are kept until the next
// change, because most peers that read from a process request the same objects.
type packedResponses map[storerev.Revision][]byte

// maxPackedResponses is the maximum number of compressed responses that are kept for a kind.
const maxPackedResponses = 8

// contentSize returns the total size of the objects' contents, in bytes.
func contentSize(objects []Object) int {
	n := 0
	for _, o := range objects {
		n += len(o.Spec)
	}
	return n
}

// encode returns the objects since a revision, either as they are or, if their content is large, compressed.
func (p packedResponses) encode(since storerev.Revision, objects []Object) (plain []Object, compressed []byte) {
	if compressed := p[since]; compressed != nil {
		return nil, compressed
	}
	if contentSize(objects) < minPackedBytes {
		return objects, nil
	}
	compressed, err := pack(objects)
	if err != nil {
		return objects, nil // Content that is not valid JSON can't be packed. The reader reports it.
	}
	if len(p) >= maxPackedResponses {
		clear(p)
	}
	p[since] = compressed
	return nil, compressed
}
