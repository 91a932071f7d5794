package emulator

import "time"

// Streams returns a fleet of three data centres whose engines process prompts of several hundred tokens and answer in about twenty events.
func Streams() Setup {
	return Setup{
		Centres: 3, Entries: 5, Engines: 13, ReportLoss: 0.01,
		EngineModel: EngineModel{
			Slots: 12, Queue: 24, PassTime: 8870 * time.Microsecond, PerSequence: 60 * time.Microsecond, TokensPerEvent: 5, ReadRate: 19100, Chunk: 2048,
		},
		Kinds: []RequestKind{
			{Name: "long", Share: 0.34, Prompt: 1330, Events: 22, Objective: 500 * time.Millisecond, Pause: 400 * time.Millisecond, Limit: 6 * time.Second},
			{Name: "middle", Share: 0.42, Prompt: 827, Events: 22, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Limit: 6 * time.Second},
			{Name: "short", Share: 0.24, Prompt: 647, Events: 14, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Limit: 6 * time.Second},
		},
	}
}
