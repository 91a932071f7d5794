// Package transfer stores a host's chunks in memory and transfers them between hosts. It is the
// shell of package weights: it carries out the effects of that reducer.
//
// Both agents use the two packages: hostagent with core/install, the agent on the users' platform
// (where gateway with core/forward is the entry), and internal/agent with core/rollout, the agent of
// the first product.
//
// In this package, a manifest is always a chunk manifest: the list of the chunks of one version
// (package manifest). It is not the operator's configuration manifest (package catalog).
package transfer

import (
	"sync"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/manifest"
)

// Memory stores verified chunks by digest, within its own budget in bytes. A chunk that several
// versions share is stored once.
type Memory struct {
	mu     sync.RWMutex
	budget int64
	used   int64
	// chunks holds the chunks by their digest, and refs how often the known versions contain each.
	chunks map[string][]byte
	refs   map[string]int
	// versions holds the known versions by their digest.
	versions map[string]version
}

type version struct {
	// raw are the exact bytes of the chunk manifest, and manifest is its parsed form.
	raw      []byte
	manifest *manifest.Manifest
	// retired is set if the version may be evicted when memory is needed.
	retired bool
}

// NewMemory returns an empty memory with a budget in bytes.
func NewMemory(budget int64) *Memory {
	return &Memory{budget: budget, chunks: map[string][]byte{}, refs: map[string]int{}, versions: map[string]version{}}
}

// AddVersion adds a version by its chunk manifest and returns the indexes of the chunks that are already
// held. It fails if the version is larger than the budget.
func (m *Memory) AddVersion(digest string, raw []byte, parsed *manifest.Manifest) ([]int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if parsed.Size > m.budget {
		return nil, code.Errorf(code.MemoryTooSmall, "-chunk-memory", "%d bytes, the version has %d", m.budget, parsed.Size)
	}
	_, known := m.versions[digest]
	m.versions[digest] = version{raw: raw, manifest: parsed}
	if !known {
		for _, c := range parsed.Chunks {
			m.refs[c.SHA256]++
		}
	}
	var held []int
	for i, c := range parsed.Chunks {
		if _, ok := m.chunks[c.SHA256]; ok {
			held = append(held, i)
		}
	}
	return held, nil
}

// DropVersion removes a version and its chunks, except those that it shares with other versions.
func (m *Memory) DropVersion(digest string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(digest)
}

// Retire marks a version that is no longer wanted. Its chunks are kept while there is free memory,
// because other versions may share them.
func (m *Memory) Retire(digest string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, known := m.versions[digest]
	if !known {
		return
	}
	v.retired = true
	m.versions[digest] = v
}

// evictRetired drops retired versions until n more bytes fit.
func (m *Memory) evictRetired(n int64) {
	for digest, v := range m.versions {
		if m.used+n <= m.budget {
			return
		}
		if v.retired {
			m.drop(digest)
		}
	}
}

func (m *Memory) drop(digest string) {
	v, known := m.versions[digest]
	if !known {
		return
	}
	delete(m.versions, digest)
	for _, c := range v.manifest.Chunks {
		m.refs[c.SHA256]--
		if m.refs[c.SHA256] > 0 {
			continue
		}
		delete(m.refs, c.SHA256)
		m.used -= int64(len(m.chunks[c.SHA256]))
		delete(m.chunks, c.SHA256)
	}
}

// Put stores a verified chunk. A chunk that belongs to no known version is ignored.
func (m *Memory) Put(sha string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, have := m.chunks[sha]; have || m.refs[sha] == 0 {
		return nil
	}
	m.evictRetired(int64(len(data)))
	if m.used+int64(len(data)) > m.budget {
		return code.Errorf(code.MemoryTooSmall, "-chunk-memory", "%d of %d bytes in use, no room for %d", m.used, m.budget, len(data))
	}
	m.chunks[sha] = data
	m.used += int64(len(data))
	return nil
}

// Chunk returns the bytes of a chunk, or nil. Callers must not modify them.
func (m *Memory) Chunk(sha string) []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.chunks[sha]
}

// Manifest returns the exact bytes and the parsed form of a version's manifest, or nil.
func (m *Memory) Manifest(digest string) ([]byte, *manifest.Manifest) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v := m.versions[digest]
	return v.raw, v.manifest
}

// HeldBitmap returns a bitmap of the held chunks of a version, most significant bit first; nil if
// the version is unknown.
func (m *Memory) HeldBitmap(digest string) []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, known := m.versions[digest]
	if !known {
		return nil
	}
	bits := make([]byte, (len(v.manifest.Chunks)+7)/8)
	for i, c := range v.manifest.Chunks {
		if _, ok := m.chunks[c.SHA256]; ok {
			bits[i/8] |= 0x80 >> (i % 8)
		}
	}
	return bits
}

// UnpackBitmap unpacks a bitmap made by HeldBitmap.
func UnpackBitmap(packed []byte) []bool {
	bits := make([]bool, 0, 8*len(packed))
	for _, b := range packed {
		for mask := byte(0x80); mask > 0; mask >>= 1 {
			bits = append(bits, b&mask != 0)
		}
	}
	return bits
}
