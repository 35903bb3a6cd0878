package discovery

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// maxPacked bounds what another gateway sends packed, in bytes when unpacked.
const maxPacked = 64 << 20

// packedConfig is a configuration's body as gateways send it to each other, kept so
// that each version is packed once.
type packedConfig struct {
	version uint64
	body    []byte
}

// of packs the body of a version.
func (p *packedConfig) of(version uint64, body []byte) ([]byte, error) {
	if p.version == version && p.body != nil {
		return p.body, nil
	}
	packed, err := deflate(func(w io.Writer) error {
		_, err := w.Write(body)
		return err
	})
	if err != nil {
		return nil, err
	}
	*p = packedConfig{version: version, body: packed}
	return packed, nil
}

// packedTargets is the list of all targets likewise, kept for a revision of the store.
// 719 targets made by its test are 11 kB.
type packedTargets struct {
	revision uint64
	body     []byte
}

// of packs the list as it stood at a revision.
func (p *packedTargets) of(revision uint64, changes []catalog.Change) ([]byte, error) {
	if p.revision == revision && p.body != nil {
		return p.body, nil
	}
	packed, err := deflate(func(w io.Writer) error { return gob.NewEncoder(w).Encode(changes) })
	if err != nil {
		return nil, err
	}
	*p = packedTargets{revision: revision, body: packed}
	return packed, nil
}

// unpackChanges gives back the list.
func unpackChanges(body []byte) ([]catalog.Change, error) {
	plain, err := inflate(body)
	if err != nil {
		return nil, err
	}
	var changes []catalog.Change
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&changes); err != nil {
		return nil, fmt.Errorf("a peer's list of targets can't be decoded: %w", err)
	}
	return changes, nil
}

func deflate(write func(io.Writer) error) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := write(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate gives back what was packed.
func inflate(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxPacked+1))
	if err != nil {
		return nil, fmt.Errorf("what a peer sent can't be unpacked: %w", err)
	}
	if len(out) > maxPacked {
		return nil, fmt.Errorf("what a peer sent is longer than %d bytes", maxPacked)
	}
	return out, nil
}
