package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Chunk describes one chunk. Size is in bytes.
type Chunk struct {
	SHA256 string `json:"sha256"`
	Size   int64  `json:"size"`
}

// Manifest describes the content of a version. Sizes are in bytes.
type Manifest struct {
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Version   string  `json:"version"`
	Size      int64   `json:"size"`
	ChunkSize int64   `json:"chunk_size"`
	Chunks    []Chunk `json:"chunks"`
	SHA256    string  `json:"sha256"`
}

// hashBufferSize is the size of the buffer for hashing content, in bytes.
const hashBufferSize = 64 << 10

// manifests creates manifests and caches their encoded form.
type manifests struct {
	content ContentConfig

	mu    sync.Mutex
	bytes map[manifestKey]func() ([]byte, error)
}

// manifestKey identifies the content of a version: the original, or the changed one that Faults.Changed selects.
type manifestKey struct {
	version Version
	changed bool
}

// get returns the encoded manifest. Each manifest is created once, so that its bytes never differ between calls.
func (m *manifests) get(key manifestKey) ([]byte, error) {
	m.mu.Lock()
	manifest, ok := m.bytes[key]
	if !ok {
		manifest = sync.OnceValues(func() ([]byte, error) { return m.content.manifest(key) })
		m.bytes[key] = manifest
	}
	m.mu.Unlock()
	return manifest()
}

func (s ContentConfig) manifest(key manifestKey) ([]byte, error) {
	source := &content{config: s, version: key.version, changed: key.changed, corruptAt: noCorruption}
	contentHash := sha256.New()
	manifest := Manifest{
		Model:     key.version.Model,
		Adapter:   key.version.Adapter,
		Version:   key.version.Version,
		Size:      s.Size,
		ChunkSize: s.ChunkSize,
		Chunks:    []Chunk{},
	}
	for index := range s.chunks() {
		chunk, err := hashChunk(source, s.chunkLen(index), contentHash)
		if err != nil {
			return nil, err
		}
		manifest.Chunks = append(manifest.Chunks, chunk)
	}
	manifest.SHA256 = hex.EncodeToString(contentHash.Sum(nil))
	text, err := json.Marshal(manifest)
	return text, errors.Wrap(err, "write a manifest")
}

// hashChunk reads the next chunk of size bytes and returns its hash. It also adds the bytes to contentHash, the hash of the entire content.
func hashChunk(source io.Reader, size int64, contentHash hash.Hash) (Chunk, error) {
	chunkHash := sha256.New()
	writer := io.MultiWriter(chunkHash, contentHash)
	if _, err := io.CopyBuffer(writer, io.LimitReader(source, size), make([]byte, hashBufferSize)); err != nil {
		return Chunk{}, errors.Wrap(err, "hash a chunk")
	}
	return Chunk{SHA256: hex.EncodeToString(chunkHash.Sum(nil)), Size: size}, nil
}
