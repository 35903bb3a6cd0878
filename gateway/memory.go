package gateway

import "github.com/sprucecrank/sprucecrank/core/gateway/memory"

// memoryLimits returns how many bytes the process may hold in memory for its callers.
func memoryLimits(s Settings) memory.Limits { return memory.NewLimits(int64(s.MemoryMB * (1 << 20))) }

// memoryUsage returns what the process holds in memory for its callers.
func (g *Gateway) memoryUsage() map[memory.Holder]memory.Usage {
	usage := map[memory.Holder]memory.Usage{}
	for _, h := range memory.Holders() {
		usage[h] = g.memory.Usage(h)
	}
	return usage
}
