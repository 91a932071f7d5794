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

// Priorities returns a fleet whose callers have four priorities and five accounts.
func Priorities() Setup {
	s := Streams()
	kind := func(name, account string, priority int, share float64) RequestKind {
		return RequestKind{
			Name: name, Account: account, Priority: priority, Share: share, Prompt: 827, Events: 20, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Limit: 6 * time.Second,
		}
	}
	s.Kinds = []RequestKind{
		kind("urgent", "exchange", 0, 0.25), kind("small", "archive", 3, 0.1), kind("large", "reports", 3, 0.35), kind("long", "reports", 3, 0.05),
		kind("low", "reports", 6, 0.1), kind("lowest", "batch", 9, 0.15),
	}
	s.Kinds[3].Prompt = 4000
	return s
}

// PriorityPatterns are the load patterns for Priorities.
var PriorityPatterns = []Pattern{
	{Name: "one account floods", Apply: func(f *fleet) {
		f.load(0.6)
		f.burst("large", 1.5, 0, warmUp+measuredTime)
	}},
	{Name: "burst of the lowest priority", Apply: func(f *fleet) {
		f.load(0.6)
		f.burst("lowest", 1.5, changeAt, changeAt+changeFor)
	}},
	{Name: "full all the time", Apply: func(f *fleet) { f.load(2.5) }},
}
