package discovery

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// maxPacked bounds the decompressed size of what another gateway sends, in bytes.
const maxPacked = 64 << 20

// packedConfig is a configuration's body as gateways send it to each other, cached so that
// each version is compressed once.
type packedConfig struct {
	version uint64
	body    []byte
}

// of returns the compressed body of a version.
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

// packedTargets caches the compressed list of all targets at a revision of the store in the
// same way. 719 targets like those of its test take 11 kB.
type packedTargets struct {
	revision uint64
	body     []byte
}

// of returns the compressed list at a revision.
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

// unpackChanges decompresses and decodes a list of targets.
func unpackChanges(body []byte) ([]catalog.Change, error) {
	plain, err := inflate(body)
	if err != nil {
		return nil, err
	}
	var changes []catalog.Change
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&changes); err != nil {
		return nil, fmt.Errorf("decoding a peer's list of targets: %w", err)
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

// inflate decompresses a body.
func inflate(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxPacked+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing a peer's message: %w", err)
	}
	if len(out) > maxPacked {
		return nil, fmt.Errorf("a peer's message is longer than %d bytes when decompressed", maxPacked)
	}
	return out, nil
}
