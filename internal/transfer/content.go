package transfer

import (
	"io"

	"github.com/pkg/errors"
)

// ErrIncomplete means that the memory lacks a chunk of the version.
var ErrIncomplete = errors.New("version is incomplete in the chunk memory")

// Content returns a reader of a version's complete content, and the size of that content in bytes.
// It fails with ErrIncomplete if a chunk is missing, so that an engine never loads part of a version.
func (m *Memory) Content(digest string) (io.Reader, int64, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, known := m.versions[digest]
	if !known {
		return nil, 0, ErrIncomplete
	}
	chunks := make([][]byte, 0, len(v.manifest.Chunks))
	for _, c := range v.manifest.Chunks {
		data, ok := m.chunks[c.SHA256]
		if !ok {
			return nil, 0, ErrIncomplete
		}
		chunks = append(chunks, data)
	}
	return &chunkReader{chunks: chunks}, v.manifest.Size, nil
}

// chunkReader reads chunks one after the other without copying them into one buffer.
type chunkReader struct{ chunks [][]byte }

// Read reads from the current chunk.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	return n, nil
}
