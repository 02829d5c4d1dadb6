package membudget

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against memory that is not given back, or taken twice: nothing long could be read any more.
func TestHold(t *testing.T) {
	is := is.New(t)
	b := New(100)
	first, second := b.Hold(10), b.Hold(0)
	is.True(first.Cover(10))
	is.Equal(b.Taken(), int64(0)) // free
	is.True(first.Cover(70))
	is.True(first.Cover(50)) // covered already
	is.Equal(b.Taken(), int64(60))
	is.True(!second.Cover(41))
	is.Equal(b.Taken(), int64(60))
	is.True(second.Cover(40))
	first.Shrink(30)
	is.Equal(b.Taken(), int64(60))
	first.Release()
	first.Release()
	second.Release()
	is.Equal(b.Taken(), int64(0))
}
