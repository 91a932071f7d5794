// Package weights implements the reducer that distributes versions of weights between hosts. Each
// host decides for itself from which source it fetches each missing chunk; there is no tracker and
// no coordinator. Package transfer carries out the effects.
//
// Both agents use the two packages: hostagent with core/install, the agent on the users' platform
// (where gateway with core/forward is the entry), and internal/agent with core/rollout, the agent of
// the first product.
//
// In this package, a manifest is always a chunk manifest: the list of the chunks of one version
// (package manifest). It is not the operator's configuration manifest (package catalog).
//
// Hosts are grouped in tiers: data centre ("place"), region, fleet. For each chunk, one host of a
// data centre, its delegate, may fetch the chunk from another data centre of the region. One host
// of a region may fetch it from another region. One host of the fleet, the chunk's origin fetcher,
// may fetch it from the weight store or the origin. Rendezvous hashing over the hosts that want the
// version selects all three. When the selected host is silent, the next one in the hash order
// replaces it. Within a data centre, hosts exchange chunks in a mesh.
package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/setting"
)

// Source identifies where a chunk is fetched from: the address of a peer, or Origin.
type Source string

// Origin denotes the weight store and, behind it, the origin of weights.
const Origin Source = "origin"

// Mode selects how chunks are distributed. Production uses Tiers; the other modes are baselines for
// experiments.
type Mode string

// The distribution modes.
const (
	// Tiers fetches by data centre, region and fleet, as described in the package comment.
	Tiers Mode = "tiers"
	// Swarm is one mesh over all hosts, whatever their data centre, in which every host may fetch
	// from the origin.
	Swarm Mode = "swarm"
	// Direct lets each host fetch every chunk from the origin.
	Direct Mode = "direct"
)

// Valid reports whether m is one of the modes.
func (m Mode) Valid() bool { return m == Tiers || m == Swarm || m == Direct }

// Ref identifies a version by the names that operators use.
type Ref struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// Peer is another host that wants the same version.
type Peer struct {
	Address string
	Place   string
	Region  string
}

// Want is a version that the upstreams of this host need, together with the other hosts that want
// it.
type Want struct {
	Ref    Ref
	Digest string
	Policy setting.Policy
	Peers  []Peer
	// Rank orders the wanted versions of a model; 0 comes first. Bursts of the same rank don't wait for each other.
	Rank int
}

// Event is an input event of this reducer.
type Event interface {
	step.Event
	weights()
}

type event struct{}

// Event marks the type as an event.
func (event) Event() {}

func (event) weights() {}

// Configured sets options that only experiments change.
type Configured struct {
	event
	Mode Mode
	// NoYield lets transfers use the whole link even when live requests get slower.
	NoYield bool
}

// ManifestRead reports that the manifest with this digest was read and checked.
type ManifestRead struct {
	event
	Digest   string
	Manifest *manifest.Manifest
	From     Source
	// Held lists the indexes of the chunks that are already in the chunk memory of this host.
	Held []int
}

// ManifestFailed reports that the manifest could not be fetched, or that this host can't hold the
// version.
type ManifestFailed struct {
	event
	Digest string
	From   Source
	// Code is 0 when there is no result code for the failure, for example when the peer or the
	// source gave no answer.
	Code code.Code
}

// ChunkStored reports that a chunk was verified and stored in the chunk memory.
type ChunkStored struct {
	event
	Digest string
	Index  int
	Fetch  uint64
	From   Source
	Took   time.Duration
}

// Reason is the cause of a failed fetch of a chunk.
type Reason int

// The causes of a failed fetch.
const (
	// ExchangeFailed means that the exchange failed or timed out.
	ExchangeFailed Reason = iota
	// Busy means that the sender rejected the request because too many uploads are waiting, or that
	// the source limits the rate.
	Busy
	// Corrupt means that the chunk did not match its digest.
	Corrupt
	// Changed means that the source now has another chunk manifest for the version.
	Changed
	// NoMemory means that the chunk memory of this host is full.
	NoMemory
	// Missing means that the sender does not have the chunk.
	Missing
	// Gone means that the source no longer sends the version.
	Gone
)

// ChunkFailed reports that a chunk could not be fetched from its source, or did not match its
// digest.
type ChunkFailed struct {
	event
	Digest string
	Index  int
	Fetch  uint64
	From   Source
	Reason Reason
	// RetryAfter is the delay that a busy sender asked for; 0 if it gave none.
	RetryAfter time.Duration
}

// PeerHas reports which chunks a peer has.
type PeerHas struct {
	event
	Digest string
	From   string
	// All replaces everything known about the peer's chunks; nil when the message contains only
	// New.
	All []bool
	// New lists the chunks that the peer got since its last message.
	New []int
	// Hello is set if the message is a hello. It asks this host to announce its chunks to the peer
	// from now on.
	Hello bool
	// OriginFailed describes the failed origin fetches that the peer knows of.
	OriginFailed OriginFailure
}

// PeerSilent reports that a peer did not answer.
type PeerSilent struct {
	event
	Digest string
	From   string
}

// UploadRequested reports that a peer requests a chunk that this host has.
type UploadRequested struct {
	event
	Call uint64
	From string
	Size int64
}

// UploadEnded reports that an upload ended, or that its caller gave up waiting for a slot.
type UploadEnded struct {
	event
	Call uint64
	// Sent is the number of bytes sent.
	Sent int64
}

// FirstByte reports how long an upstream of this host took until the first byte of its answer to a
// live request.
type FirstByte struct {
	event
	Upstream string
	Latency  time.Duration
}

type effect struct{}

// Effect marks the type as an effect.
func (effect) Effect() {}

// FetchManifest fetches the manifest from a peer that may have it, or from the origin.
type FetchManifest struct {
	effect
	Ref    Ref
	Digest string
	From   Source
}

// FetchChunk fetches, verifies and stores one chunk.
type FetchChunk struct {
	effect
	ID     uint64
	Ref    Ref
	Digest string
	Index  int
	Chunk  manifest.Chunk
	Offset int64
	From   Source
	// Try counts the failures of this chunk at the sources. It rotates the source that is asked
	// first.
	Try int
	// Limit is the maximum duration of the fetch.
	Limit time.Duration
}

// CancelFetch cancels a fetch whose chunk is no longer needed.
type CancelFetch struct {
	effect
	ID uint64
}

// Announce reports to a peer which chunks this host has.
type Announce struct {
	effect
	Digest string
	To     string
	New    []int
	// Hello makes the message a hello: it contains the complete list of held chunks, and asks the
	// peer for its own list and for later announcements.
	Hello bool
	// OriginFailed describes the failed origin fetches that this host knows of.
	OriginFailed OriginFailure
}

// Completed reports that this host has every chunk of the version.
type Completed struct {
	effect
	Digest string
	Took   time.Duration
	Counts Counts
}

// Retired reports that a version is no longer wanted. Its chunks are kept while there is free
// memory, because wanted versions may share them.
type Retired struct {
	effect
	Digest string
}

// Returned reports that a retired version is wanted again. The chunks still held are then reported
// in a ManifestRead.
type Returned struct {
	effect
	Digest string
}

// Dropped reports that the chunks of a version may be discarded.
type Dropped struct {
	effect
	Digest string
}

// StartUpload starts the upload that a peer requested.
type StartUpload struct {
	effect
	Call uint64
}

// RefuseUpload rejects the upload that a peer requested, because too many are queued.
type RefuseUpload struct {
	effect
	Call uint64
}

// SetShare sets the share of the host's link that transfers may use: above 0, at most 1.
type SetShare struct {
	effect
	Share float64
}
