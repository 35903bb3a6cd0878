package feed

import "errors"

var errTest = errors.New("lost by a test")

// Lose does what follows when another gateway does not answer.
func (f *Feed) Lose(id, address string) { f.lost(id, address, errTest) }
