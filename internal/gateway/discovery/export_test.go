package discovery

import (
	"errors"

	"github.com/sprucecrank/sprucecrank/core/member"
)

var errTest = errors.New("lost by a test")

// Lose does what follows when another gateway does not answer.
func (f *Follower) Lose(id, address string) { f.noteLost(member.Box{ID: id, Peer: address}, errTest) }
