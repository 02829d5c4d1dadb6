package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/membudget"
)

// Guards against request bodies that are cut or changed by the way they are read, and against memory for them that is
// not counted, or not given back.
func TestBodiesAreReadWithinTheirMemory(t *testing.T) {
	const limit = 1 << 20
	for _, size := range []int{0, 1, freeBodyMemory - 1, freeBodyMemory, freeBodyMemory + 1, 300_000, limit/2 - freeBodyMemory, limit} {
		for _, declared := range []bool{true, false} {
			for name, reader := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "with end": iotest.DataErrReader} {
				t.Run(fmt.Sprint(size, declared, name), func(t *testing.T) {
					is := is.New(t)
					want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
					length := int64(-1)
					if declared {
						length = int64(size)
					}
					budget := membudget.New(limit)
					hold := budget.Hold("caller", freeBodyMemory)
					body, err := readBody(reader(bytes.NewReader(want)), length, hold)
					if size == limit {
						is.True(fault.Is(err, fault.Overloaded)) // a peer may take half of what is left
						is.Equal(fault.From(err).Outcome, fault.NotRun)
					} else if declared || size < limit/4 {
						is.NoErr(err)
						is.True(bytes.Equal(body, want))
						is.True(budget.Taken() >= int64(cap(body)-freeBodyMemory))
					}
					if size <= freeBodyMemory && declared {
						is.Equal(budget.Taken(), int64(0))
					}
					hold.Release()
					is.Equal(budget.Taken(), int64(0))
				})
			}
		}
	}
	is := is.New(t)
	budget := membudget.New(limit)
	hold := budget.Hold("caller", freeBodyMemory)
	_, err := readBody(io.MultiReader(strings.NewReader("begun"), iotest.ErrReader(errors.New("broken"))), 400_000, hold)
	is.True(err != nil && !fault.Is(err, fault.Overloaded))
	is.Equal(budget.Taken(), int64(0)) // a length that is only named takes nothing
}

// Guards against bodies of many calls that take more memory together than a router has: each is within its own limit.
func TestBodiesOfManyCallsAreBounded(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{bodies: membudget.New(10 << 20)}
	var calls []*forwardedCall
	var held int64
	for i := range 50 {
		r := httptest.NewRequest("POST", "http://desk.example/x", nil)
		r.RemoteAddr = fmt.Sprint("10.0.0.1:", 1000+i)
		c := &forwardedCall{f: f, r: r, bodyHold: f.bodies.Hold(r.RemoteAddr, freeBodyMemory)}
		if body, err := readBody(bytes.NewReader(make([]byte, 1<<20)), 1<<20, c.bodyHold); err == nil {
			calls, held = append(calls, c), held+int64(cap(body))
		}
	}
	is.True(len(calls) >= 9) // no more is refused than has to be
	is.True(held <= 10<<20+int64(len(calls))*freeBodyMemory)
	_, err := readBody(bytes.NewReader(make([]byte, freeBodyMemory)), freeBodyMemory, f.bodies.Hold("10.0.0.2:1", freeBodyMemory))
	is.NoErr(err) // a short one is read in any case
	for _, c := range calls {
		c.releaseBody()
	}
	is.Equal(f.bodies.Taken(), int64(0))
}
