package attribution

// Sizes returns the numbers of crashes, of suspects and of parts in the history.
func (t *Table) Sizes() (crashes, suspects, history int) {
	for _, c := range t.crashes {
		suspects += len(c.suspects)
	}
	return len(t.crashes), suspects, len(t.history)
}

// Uncleared returns, for each part, how many crashes count against it.
func (t *Table) Uncleared() map[Part]int {
	count := map[Part]int{}
	for _, c := range t.crashes {
		for p, s := range c.suspects {
			if !s.cleared {
				count[p]++
			}
		}
	}
	return count
}
