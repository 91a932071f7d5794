package engine

import "container/list"

// lru is a least-recently-used cache with at most limit entries.
type lru struct {
	limit int
	order *list.List
	items map[string]*list.Element
}

type lruItem struct {
	key   string
	value []byte
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, order: list.New(), items: map[string]*list.Element{}}
}

// get returns the value at key and marks it as recently used.
func (l *lru) get(key string) ([]byte, bool) {
	element, ok := l.items[key]
	if !ok {
		return nil, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruItem).value, true
}

// put stores a value. If an entry was evicted to make space, it returns its key and full is true.
func (l *lru) put(key string, value []byte) (evicted string, full bool) {
	if element, ok := l.items[key]; ok {
		element.Value.(*lruItem).value = value
		l.order.MoveToFront(element)
		return "", false
	}
	l.items[key] = l.order.PushFront(&lruItem{key: key, value: value})
	if l.order.Len() <= l.limit {
		return "", false
	}
	last := l.order.Back()
	evicted = last.Value.(*lruItem).key
	l.order.Remove(last)
	delete(l.items, evicted)
	return evicted, true
}
