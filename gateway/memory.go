package gateway

const (
	// answerShare is the share of the memory (memory_mb) that answers on their way may
	// hold. 23 MB of the least machine of 184 MB, 14 times what 100 long ones
	// need; the rest is for connections, requests and what is known of targets.
	answerShare = 0.125
	// unboundedAnswers is their room where memory_mb is 0, in bytes. 4,000 long
	// ones at once.
	unboundedAnswers = 64 << 20
)

// answerRoom is how many bytes of answers the process may hold.
func answerRoom(s Settings) int64 {
	if s.MemoryMB <= 0 {
		return unboundedAnswers
	}
	return int64(answerShare * s.MemoryMB * (1 << 20))
}
