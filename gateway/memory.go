package gateway

import "github.com/sprucecrank/sprucecrank/core/gateway/memory"

const (
	// responseMemoryShare is the share of the memory (memory_mb) that buffered responses may
	// occupy. It is 23 MB on the smallest machine of 184 MB, 14 times what 100 long responses
	// need; the rest is for connections, requests and the known state of targets.
	responseMemoryShare = 0.125
	// defaultResponseMemory is the memory for buffered responses where memory_mb is 0, in
	// bytes. It is enough for 4,000 long responses at once.
	defaultResponseMemory = 64 << 20
)

// responseMemoryLimit returns how many bytes of responses the process may buffer.
func responseMemoryLimit(s Settings) int64 {
	if s.MemoryMB <= 0 {
		return defaultResponseMemory
	}
	return int64(responseMemoryShare * s.MemoryMB * (1 << 20))
}

// memoryUsage returns what the process holds in memory for its callers.
func (g *Gateway) memoryUsage() map[memory.Holder]memory.Usage {
	usage := map[memory.Holder]memory.Usage{}
	for _, h := range memory.Holders() {
		usage[h] = g.memory.Usage(h)
	}
	return usage
}
