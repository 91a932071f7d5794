// Package manifest reads chunk manifests. A chunk manifest lists the chunks that make up a version of
// weights. A version is identified by its digest, the SHA-256 of the exact bytes of its chunk
// manifest in hex. The operator's configuration manifest is another one; see package catalog.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"samphireweir.example/samphireweir/internal/code"
)

const (
	// MaxBytes is the maximum size of an encoded manifest, in bytes.
	MaxBytes = 1 << 20
	// MaxChunks is the maximum number of chunks of a version. It keeps a bitmap of the held chunks
	// below 1 kB.
	MaxChunks = 4096
)

// Chunk is one part of the content of a version.
type Chunk struct {
	// SHA256 is the digest of the chunk in hex.
	SHA256 string `json:"sha256"`
	// Size is the size of the chunk in bytes.
	Size int64 `json:"size"`
}

// Manifest lists the chunks of one version of a model with an adapter. Size and ChunkSize are in
// bytes.
type Manifest struct {
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Version   string  `json:"version"`
	Size      int64   `json:"size"`
	ChunkSize int64   `json:"chunk_size"`
	Chunks    []Chunk `json:"chunks"`
	// SHA256 is the digest of the whole content in hex.
	SHA256 string `json:"sha256"`
}

// Digest returns the digest of a manifest from its exact bytes.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Offset returns the position of chunk i in the content, in bytes.
func (m *Manifest) Offset(i int) int64 { return int64(i) * m.ChunkSize }

// Parse decodes and validates a manifest. Its errors name the invalid field.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > MaxBytes {
		return nil, code.Errorf(code.BadManifest, "manifest", "%d bytes, at most %d", len(raw), MaxBytes)
	}
	m := &Manifest{}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, code.Errorf(code.BadManifest, "manifest", "not JSON: %v", err)
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Manifest) check() error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return code.Errorf(code.BadManifest, "chunks", "%d, want 1 to %d", len(m.Chunks), MaxChunks)
	}
	if m.ChunkSize <= 0 {
		return code.Errorf(code.BadManifest, "chunk_size", "%d, want more than 0", m.ChunkSize)
	}
	if !isDigest(m.SHA256) {
		return code.Errorf(code.BadManifest, "sha256", "want 64 hex digits")
	}
	return m.checkChunks()
}

func (m *Manifest) checkChunks() error {
	var total int64
	last := len(m.Chunks) - 1
	for i, c := range m.Chunks {
		if !isDigest(c.SHA256) {
			return code.Errorf(code.BadManifest, "chunks.sha256", "chunk %d: want 64 hex digits", i)
		}
		if c.Size <= 0 || c.Size > m.ChunkSize || (i < last && c.Size != m.ChunkSize) {
			return code.Errorf(code.BadManifest, "chunks.size", "chunk %d: %d, want chunk_size (the last may be less)", i, c.Size)
		}
		total += c.Size
	}
	if total != m.Size {
		return code.Errorf(code.BadManifest, "size", "%d, but the chunks add up to %d", m.Size, total)
	}
	return nil
}

func isDigest(s string) bool {
	if len(s) != 2*sha256.Size {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}
