package standincmd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sprucecrank/sprucecrank/internal/standin/load"
)

// parseKinds reads kinds written as NAME:METHOD:PATH:SHARE[:once].
func parseKinds(texts []string) ([]load.Kind, error) {
	kinds := make([]load.Kind, 0, len(texts))
	for _, text := range texts {
		parts := strings.Split(text, ":")
		once := len(parts) == 5 && parts[4] == "once"
		if len(parts) != 4 && !once {
			return nil, fmt.Errorf("kind %q: write NAME:METHOD:PATH:SHARE, or with :once at the end", text)
		}
		share, err := strconv.ParseFloat(parts[3], 64)
		if err != nil || share <= 0 {
			return nil, fmt.Errorf("kind %q: found share %q; allowed: a number above 0", text, parts[3])
		}
		kinds = append(kinds, load.Kind{Name: parts[0], Method: parts[1], Path: parts[2], Share: share, Once: once})
	}
	return kinds, nil
}
