package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/step"
)

// PartitionCount is the number of partitions. It is part of the stored format: all processes must use the same value.
const PartitionCount = 8

// objectPrefix is the prefix of the claims' objects in the object API.
const objectPrefix = "claims/"

// keySize is the size of a hashed key, in bytes. With 10^9 keys, the probability of a collision is about 10^-21.
const keySize = 16

// Key is the hash of a caller's idempotency key within its service.
type Key [keySize]byte

// HashKey returns the Key of a caller's idempotency key for a service. The team and the service are part of the hashed
// text, so that equal keys of different services don't collide.
func HashKey(team, service, key string) Key {
	sum := sha256.Sum256([]byte(team + "/" + service + "/" + key))
	return Key(sum[:keySize])
}

// Partition returns the number of the key's partition.
func (k Key) Partition() int {
	return int(binary.BigEndian.Uint64(k[:8]) % PartitionCount)
}

// MarshalText encodes the key for JSON.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(base64.RawURLEncoding.EncodeToString(k[:])), nil
}

// UnmarshalText decodes the text form that MarshalText returns.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != keySize {
		return errors.Errorf("%q is not a hashed key", text)
	}
	copy(k[:], raw)
	return nil
}

// KeyTimestamp returns the timestamp in an idempotency key, in Unix milliseconds, or 0 if the key contains none. Only a UUID
// of version 7 in its canonical form of 36 characters contains one.
func KeyTimestamp(key string) int64 {
	const canonicalLength = 36
	if len(key) != canonicalLength {
		return 0
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// HeadKey returns the object key of a partition's head.
func HeadKey(partition int) string { return fmt.Sprintf("%s%03d/head", objectPrefix, partition) }

// segmentKey returns the object key of a segment; writer and n make it unique.
func segmentKey(partition int, writer string, n uint64, kind string) string {
	return fmt.Sprintf("%s%03d/%s-%d-%s", objectPrefix, partition, writer, n, kind)
}

// RankOwners returns the members in the order in which they are called for a partition: the owner first, then those
// that take over if it does not answer.
func RankOwners(partition int, members []string) []string {
	return step.Rank(HeadKey(partition), members)
}

// Fingerprint returns a hash of a request, to detect that a key is reused with a different request. The hash covers the
// method, the target, the body's length in bytes (-1 if it is not known) and the start of the body. start is the
// complete body unless that is larger than what an entry buffers.
func Fingerprint(method, target string, length int64, start []byte) uint64 {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %d\n", method, target, length)
	_, _ = h.Write(start)
	return binary.BigEndian.Uint64(h.Sum(nil)) | 1 // The lowest bit is set so that the result is never noFingerprint.
}
