package httpbody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

var lengths = []int{0, 1, minPiece - 1, minPiece, minPiece + 1, 100_000, 4 << 20}

// Guards against bodies that lose bytes between two pieces, or are counted after they were read.
func TestBodiesAreWholeAndCountedBefore(t *testing.T) {
	for _, length := range lengths {
		want := bytes.Repeat([]byte("body of "), length/8+1)[:length]
		for _, declared := range []int64{-1, int64(length)} {
			taken := 0
			reader := iotest.OneByteReader(bytes.NewReader(want))
			counted := readerFunc(func(p []byte) (int, error) {
				n, err := reader.Read(p)
				if taken -= n; taken < 0 {
					t.Fatalf("%d bytes were read before they were counted", -taken)
				}
				return n, err
			})
			body, err := Read(counted, declared, func(n int) error {
				taken += n
				return nil
			})
			require.NoError(t, err)
			require.Equal(t, length, body.Len())
			require.True(t, bytes.Equal(want, body.Bytes()))
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a part of a body that is taken for a whole one.
func TestBodyThatEndsEarlyIsAnError(t *testing.T) {
	for _, declared := range []int64{-1, 100} {
		_, err := Read(io.MultiReader(bytes.NewReader(make([]byte, 50)), iotest.ErrReader(io.ErrUnexpectedEOF)), declared, nil)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against bodies that are read on though there is no memory for them.
func TestReadEndsWithoutMemory(t *testing.T) {
	errShort, left := errors.New("no memory"), 300<<10
	body, err := Read(bytes.NewReader(make([]byte, 4<<20)), -1, func(n int) error {
		if left -= n; left < 0 {
			return errShort
		}
		return nil
	})
	require.ErrorIs(t, err, errShort)
	require.LessOrEqual(t, body.Len(), 300<<10)
}

// Guards against reads that allocate a multiple of the body.
func TestReadAllocatesLittleBesideTheBody(t *testing.T) {
	for _, declared := range []bool{true, false} {
		for _, length := range []int{110_000, 4 << 20, 16 << 20} {
			source := make([]byte, length)
			result := testing.Benchmark(func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					declaredLength := int64(-1)
					if declared {
						declaredLength = int64(length)
					}
					if _, err := Read(bytes.NewReader(source), declaredLength, nil); err != nil {
						b.Fatal(err)
					}
				}
			})
			t.Logf("%d bytes, length declared %v: %d bytes allocated", length, declared, result.AllocedBytesPerOp())
			require.LessOrEqual(t, float64(result.AllocedBytesPerOp()), 1.3*float64(length))
		}
	}
}
