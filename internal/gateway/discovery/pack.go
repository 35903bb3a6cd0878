package discovery

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxConfig bounds a configuration that another gateway sends, in bytes.
const maxConfig = 64 << 20

// packed is a configuration's body as gateways send it to each other, kept so
// that a relay packs each version once.
type packed struct {
	version uint64
	body    []byte
}

// of packs the body of a version.
func (p *packed) of(version uint64, body []byte) ([]byte, error) {
	if p.version == version && p.body != nil {
		return p.body, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	*p = packed{version: version, body: out.Bytes()}
	return p.body, nil
}

// unpack gives back the body.
func unpack(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("a peer's configuration can't be unpacked: %w", err)
	}
	if len(out) > maxConfig {
		return nil, fmt.Errorf("a peer's configuration is longer than %d bytes", maxConfig)
	}
	return out, nil
}
