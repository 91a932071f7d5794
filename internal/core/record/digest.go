package record

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/code"
)

// Buckets is the number of hash buckets for the common records, and also the number for the dynamic records.
const Buckets = 128

// bucketHashBytes is the encoded size of one bucket's hash.
const bucketHashBytes = 8

// Sums holds one hash per bucket over the records in it that are not deleted: first the hashes of the common buckets,
// then those of the dynamic ones. Except for hash collisions, equal sums mean equal states.
type Sums [2 * Buckets]uint64

// Common returns one hash over the common buckets.
func (s *Sums) Common() uint64 { return combine(s[:Buckets]) }

// Dynamic returns one hash over the dynamic buckets.
func (s *Sums) Dynamic() uint64 { return combine(s[Buckets:]) }

func combine(sums []uint64) uint64 { return xxhash.Sum64(pack(sums)) }

// pack encodes bucket hashes in big-endian order.
func pack(sums []uint64) []byte {
	raw := make([]byte, 0, bucketHashBytes*len(sums))
	for _, v := range sums {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	return raw
}

// packFrom encodes a digest of a state (not of a version of weights): the half of Sums in which it starts, 0 for common
// and 1 for dynamic, and the hashes of the common buckets, of the dynamic buckets or of all.
func packFrom(from int, sums []uint64) []byte {
	return append([]byte{byte(from / Buckets)}, pack(sums)...)
}

// unpack decodes a peer's digest. It returns no sums when the digest is malformed.
func unpack(raw []byte) (from int, sums []uint64) {
	if len(raw) == 0 {
		return 0, nil
	}
	from, raw = int(raw[0])*Buckets, raw[1:]
	n := len(raw) / bucketHashBytes
	if len(raw)%bucketHashBytes != 0 || n == 0 || n%Buckets != 0 || from+n > 2*Buckets {
		return 0, nil
	}
	sums = make([]uint64, n)
	for i := range sums {
		sums[i] = binary.BigEndian.Uint64(raw[bucketHashBytes*i:])
	}
	return from, sums
}

// CheckDigest returns an error unless the digest is empty or covers the common buckets, the dynamic buckets or all.
func CheckDigest(raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	if _, sums := unpack(raw); sums == nil {
		return code.Errorf(code.BadMessage, "digest", "%d bytes, want 1 and %d or %d", len(raw), bucketHashBytes*Buckets, 2*bucketHashBytes*Buckets)
	}
	return nil
}

// bucket returns the index of a key's bucket in Sums.
func bucket(key string) int {
	b := int(xxhash.Sum64String(key) % Buckets)
	if isDynamic(key) {
		return Buckets + b
	}
	return b
}

// fingerprint returns a hash of a record's key and version.
func fingerprint(r Record) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Key)
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], r.Version.Major)
	binary.BigEndian.PutUint64(b[8:], r.Version.Minor)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
