package httpconn

import (
	"io"
	"net/http"
)

// checkTrailer has the body of an answer in chunks fail at its end if the name of a trailer
// field is not allowed.
func checkTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
}

type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.response.Trailer {
		if !isFieldName(name) {
			return n, unless(false, "trailer field name")
		}
	}
	return n, io.EOF
}

func isFieldName(name string) bool {
	for _, b := range []byte(name) {
		if !isToken[b] {
			return false
		}
	}
	return name != ""
}
