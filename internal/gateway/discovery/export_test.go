package discovery

import "errors"

var errTest = errors.New("lost by a test")

// Lose does what follows when another gateway does not answer.
func (f *Follower) Lose(id, address string) { f.noteLost(id, address, errTest) }
