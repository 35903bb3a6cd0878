// Package cmdutil is what the commands share: their streams, their
// dependencies, and the form of their output.
//
// # Usage
//
//	f := cmdutil.NewFactory(cmdutil.System())
//	client := f.Platform()
//	err := cmdutil.WriteJSON(f.IO, value)
package cmdutil

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/httpconn"
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// System is the process's own streams.
func System() Streams { return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// Factory gives the commands what they depend on; tests replace its functions.
type Factory struct {
	IO Streams
	// PlatformAddress is set by the --platform flag.
	PlatformAddress string
	// AdminToken is set by the --admin-token flag.
	AdminToken string
	Platform   func() *store.Client
	HTTP       *http.Client
	Clock      func() time.Time
	NewID      func() string
	User       func() string
}

const (
	httpTimeout = 5 * time.Second
	// maxAnswer bounds an answer of an administration API, in bytes.
	maxAnswer = 64 << 20
)

// NewFactory makes the real dependencies.
func NewFactory(s Streams) *Factory {
	f := &Factory{
		IO: s, Clock: time.Now,
		HTTP:  &http.Client{Timeout: httpTimeout, Transport: httpconn.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})},
		NewID: uuid.NewString, User: currentUser,
	}
	f.Platform = func() *store.Client {
		return store.New(store.Options{Address: f.PlatformAddress, Log: slog.New(slog.NewTextHandler(s.Err, nil))})
	}
	return f
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// ReadInput reads a file, or standard input for "-".
func (f *Factory) ReadInput(path string) ([]byte, error) {
	if path == "" {
		return nil, Usage("name a file, or - for standard input")
	}
	if path == "-" {
		return io.ReadAll(f.IO.In)
	}
	return os.ReadFile(path)
}

// GetJSON asks an administration API.
func (f *Factory) GetJSON(url string, into any) error {
	return f.do(http.MethodGet, url, into)
}

// Post calls an administration API without a body.
func (f *Factory) Post(url string) error { return f.do(http.MethodPost, url, nil) }

func (f *Factory) do(method, url string, into any) error {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	if f.AdminToken != "" {
		r.Header.Set("Authorization", "Bearer "+f.AdminToken)
	}
	response, err := f.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("the box does not answer: %w", err)
	}
	body, err := httpconn.ReadBody(response, maxAnswer)
	if err != nil {
		return fmt.Errorf("the answer of %s can't be read: %w", url, err)
	}
	if response.StatusCode == http.StatusUnauthorized {
		return fmt.Errorf("%s refused the call: set --admin-token to the box's admin_token", url)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s answered %s", url, response.Status)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

// Exit codes of the commands.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitPlatform = 4
)

// CodedError is an error with the exit code that it calls for.
type CodedError struct {
	code int
	err  error
}

// Code is the exit code.
func (e *CodedError) Code() int { return e.code }

// Error implements error.
func (e *CodedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *CodedError) Unwrap() error { return e.err }

// Usage is an error in how the command was called.
func Usage(format string, args ...any) error {
	return &CodedError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// Conflict is a lost race with another operator.
func Conflict(format string, args ...any) error {
	return &CodedError{code: ExitConflict, err: fmt.Errorf(format, args...)}
}

// ExitCode finds the exit code of an error.
func ExitCode(err error) int {
	var coded *CodedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrAmbiguous):
		return ExitPlatform
	default:
		return ExitFailed
	}
}

// WriteJSON writes a value for scripts.
func WriteJSON(s Streams, v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Table writes rows for people.
func Table(s Streams, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(header, "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Explain adds what to do next to an error of the platform.
func Explain(err error) error {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return fmt.Errorf("%w; see the names with the list command", err)
	case errors.Is(err, store.ErrAmbiguous):
		return fmt.Errorf("%w; run the history command to see whether the change is there before you repeat it", err)
	case errors.Is(err, store.ErrUnavailable):
		return fmt.Errorf("%w; check --platform, or try again when the platform is back", err)
	default:
		return err
	}
}
