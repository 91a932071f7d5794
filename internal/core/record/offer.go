package record

import (
	"encoding/binary"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// OfferFanout is the number of entries to which an entry offers changed records. Offers are small, so they are sent
	// to all entries that are peers of this one.
	OfferFanout = 6
	// OfferInterval is the minimum time between two offers of an entry. The first change is offered at the next tick.
	// While changes continue, those of three ticks are offered together. The interval is half a tick shorter than three
	// ticks, because ticks are not exact.
	OfferInterval = 3*step.TickInterval - step.TickInterval/2
	// OwnFanout is the number of entries to which an agent pushes its own dynamic record. The entries distribute it.
	OwnFanout = 2
	// MaxOfferRecords is the maximum number of records in one offer.
	MaxOfferRecords = 1024
	// requestTimeout is how long an entry that requested a record does not request it from another entry. If the answer
	// is lost, the next exchange of sums transfers the record.
	requestTimeout = 3 * step.TickInterval
	// fingerprintBytes is the encoded size of one fingerprint.
	fingerprintBytes = 8
)

// Offer offers the dynamic records that changed here to another entry, by the fingerprints of their keys and versions.
// The other entry answers with those that it lacks, and only these are sent. Each entry therefore receives a record about
// once.
type Offer struct {
	To           string
	Fingerprints []byte
}

// Offered reports that another entry offered records and waits for the fingerprints of those that are missing here.
type Offered struct {
	Call         uint64
	From         string
	Fingerprints []byte
}

// OfferAnswer answers an Offered.
type OfferAnswer struct {
	Call uint64
	// Wants are the fingerprints of the records that are missing here.
	Wants []byte
}

// OfferAnswered reports that another entry answered an Offer.
type OfferAnswered struct {
	From string
	// Fingerprints are the fingerprints of the records that it requests.
	Fingerprints []byte
}

// Effect marks the type as an effect.
func (Offer) Effect() {}

// Event marks the type as an event.
func (Offered) Event() {}

// Effect marks the type as an effect.
func (OfferAnswer) Effect() {}

// Event marks the type as an event.
func (OfferAnswered) Event() {}

// CheckFingerprints returns an error when encoded fingerprints have an invalid length.
func CheckFingerprints(raw []byte) error {
	if len(raw)%fingerprintBytes != 0 || len(raw) > MaxOfferRecords*fingerprintBytes {
		return code.Errorf(code.BadMessage, "prints", "%d bytes, want a multiple of %d up to %d", len(raw), fingerprintBytes, MaxOfferRecords*fingerprintBytes)
	}
	return nil
}

// makeOffers returns the offers of the records under some keys to a peer.
func (s *State) makeOffers(to string, keys []string) []step.Effect {
	var effects []step.Effect
	for len(keys) > 0 {
		n := min(len(keys), MaxOfferRecords)
		o := Offer{To: to}
		for _, key := range keys[:n] {
			o.Fingerprints = binary.BigEndian.AppendUint64(o.Fingerprints, fingerprint(s.Records[key]))
		}
		effects = append(effects, o)
		keys = keys[n:]
	}
	return effects
}

// handleOffered returns which of the offered records are missing here and were not requested recently.
func (s *State) handleOffered(now time.Time, ev Offered) OfferAnswer {
	a := OfferAnswer{Call: ev.Call}
	if !s.holdDynamic {
		return a
	}
	for _, fp := range decodeFingerprints(ev.Fingerprints) {
		_, held := s.keyByFingerprint[fp]
		at, waits := s.requestedAt[fp]
		if held || waits && now.Sub(at) < requestTimeout {
			continue
		}
		s.requestedAt[fp] = now
		a.Wants = binary.BigEndian.AppendUint64(a.Wants, fp)
	}
	return a
}

// handleOfferAnswered sends the requested records. It skips those that changed since the offer, because a changed record is
// offered again.
func (s *State) handleOfferAnswered(ev OfferAnswered) []step.Effect {
	var records []Record
	for _, fp := range decodeFingerprints(ev.Fingerprints) {
		if key, held := s.keyByFingerprint[fp]; held {
			records = append(records, s.Records[key])
		}
	}
	return splitIntoPushes(ev.From, records)
}

// decodeFingerprints decodes fingerprints and ignores an incomplete one at the end.
func decodeFingerprints(raw []byte) []uint64 {
	var list []uint64
	for ; len(raw) >= fingerprintBytes; raw = raw[fingerprintBytes:] {
		list = append(list, binary.BigEndian.Uint64(raw))
	}
	return list
}

// expireRequests drops the requests for records that have timed out.
func (s *State) expireRequests(now time.Time) {
	for fp, at := range s.requestedAt {
		if now.Sub(at) >= requestTimeout {
			delete(s.requestedAt, fp)
		}
	}
}
