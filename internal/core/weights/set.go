package weights

// set is a set of chunk indexes with insertion, removal and random choice in constant time.
type set struct {
	items []int
	// positions maps each index to its position in items plus 1; 0 if the index is not in the set.
	positions []int
}

func newSet(n int) set { return set{positions: make([]int, n)} }

func (s *set) len() int { return len(s.items) }

func (s *set) has(i int) bool { return s.positions[i] > 0 }

func (s *set) add(i int) {
	if s.positions[i] > 0 {
		return
	}
	s.items = append(s.items, i)
	s.positions[i] = len(s.items)
}

func (s *set) remove(i int) {
	at := s.positions[i]
	if at == 0 {
		return
	}
	last := s.items[len(s.items)-1]
	s.items[at-1] = last
	s.positions[last] = at
	s.items = s.items[:len(s.items)-1]
	s.positions[i] = 0
}
