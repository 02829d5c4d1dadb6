package membudget

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against memory that is not given back, or taken twice: nothing long could be read any more.
func TestHold(t *testing.T) {
	is := is.New(t)
	b := New(200)
	first, second := b.Hold("one", 10), b.Hold("two", 0)
	is.True(first.Cover(10))
	is.Equal(b.Taken(), int64(0)) // free
	is.True(first.Cover(70))
	is.True(first.Cover(50)) // covered already
	is.Equal(b.Taken(), int64(60))
	is.True(!second.Cover(71)) // more than what it would leave
	is.Equal(b.Taken(), int64(60))
	is.True(second.Cover(70))
	first.Shrink(30)
	is.Equal(b.Taken(), int64(90))
	first.Release()
	first.Release()
	second.Release()
	is.Equal(b.Taken(), int64(0))
	is.Equal(len(b.takenBy), 0)
}
