package box

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
)

// HeaderOperator names who makes a change through the administration API.
const HeaderOperator = "Sprucecrank-Operator"

// objects serves one noun of the administration API.
type objects struct {
	box  *Box
	noun envelope.Noun
}

// addObjects serves a noun's objects under path: GET, PUT and DELETE with
// versions as ETag and conditional updates.
func (b *Box) addObjects(g *echo.Group, path string, noun envelope.Noun) {
	o := objects{box: b, noun: noun}
	g.GET(path+"/:name", o.get)
	g.PUT(path+"/:name", o.put)
	g.DELETE(path+"/:name", o.remove)
}

// adminProblem is the body of a refused administration call.
type adminProblem struct {
	Detail   string          `json:"detail"`
	Problems policy.Problems `json:"problems,omitempty"`
}

func (o objects) get(c echo.Context) error {
	env, version, err := submit.Current(c.Request().Context(), o.box.platform.Objects(), o.noun, c.Param("name"))
	if err != nil {
		return o.failed(c, err)
	}
	if version == 0 || env.Deleted {
		return c.JSON(http.StatusNotFound, adminProblem{Detail: "there is no such " + string(o.noun)})
	}
	c.Response().Header().Set("ETag", store.Tag(version))
	return c.JSONBlob(http.StatusOK, env.Value)
}

func (o objects) put(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, store.MaxValue))
	if err != nil {
		return err
	}
	name, err := submit.Check(o.noun, raw)
	if err != nil {
		return o.failed(c, err)
	}
	if name != c.Param("name") {
		return c.JSON(http.StatusBadRequest, adminProblem{Detail: "the document is for " + name + ", the path for " + c.Param("name")})
	}
	return o.write(c, submit.Change{Value: json.RawMessage(raw)})
}

func (o objects) remove(c echo.Context) error {
	return o.write(c, submit.Change{Deleted: true})
}

// write submits a change under the version that the caller saw. A caller that
// names none is refused: it can't know what it would overwrite.
func (o objects) write(c echo.Context, change submit.Change) error {
	expect, ok := store.ExpectedVersion(c.Request().Header)
	if !ok {
		return c.JSON(http.StatusPreconditionRequired, adminProblem{Detail: "send If-Match with the version that you saw, or If-None-Match: * for a new object"})
	}
	change.Noun, change.Name, change.Expect = o.noun, c.Param("name"), &expect
	change.ID, change.At = uuid.NewString(), o.box.options.Clock()
	change.By = c.Request().Header.Get(HeaderOperator)
	if change.By == "" {
		change.By = "administration API of " + o.box.settings.ID
	}
	version, err := submit.Write(c.Request().Context(), o.box.platform.Objects(), change)
	if err != nil {
		return o.failed(c, err)
	}
	c.Response().Header().Set("ETag", store.Tag(version))
	return c.NoContent(http.StatusNoContent)
}

func (o objects) failed(c echo.Context, err error) error {
	var raced *submit.RacedError
	var problems policy.Problems
	switch {
	case errors.As(err, &raced):
		c.Response().Header().Set("ETag", store.Tag(raced.Version()))
		return c.JSON(http.StatusPreconditionFailed, adminProblem{Detail: err.Error()})
	case errors.As(err, &problems):
		return c.JSON(http.StatusBadRequest, adminProblem{Detail: "the document is not valid; nothing was changed", Problems: problems})
	default:
		c.Response().Header().Set("Retry-After", "2")
		return c.JSON(http.StatusServiceUnavailable, adminProblem{Detail: err.Error()})
	}
}
