package stream_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/stream"
)

func ExampleState() {
	var s stream.State
	for _, offset := range []int{0, 1, 1, 3, 2} {
		next, verdict := s.With(offset, false)
		s = next
		fmt.Print(offset, " ", verdict, "; ")
	}
	// Output: 0 deliver; 1 deliver; 1 duplicate; 3 gap; 2 deliver;
}

func TestDeliveredChunksAreCompleteAndInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.IntRange(1, 20).Draw(rt, "length")
		var s stream.State
		var got []int
		for range 200 {
			at := rapid.IntRange(0, length-1).Draw(rt, "offset")
			next, verdict := s.With(at, at == length-1)
			if verdict == stream.Deliver {
				got = append(got, at)
			}
			s = next
		}
		for i, at := range got {
			require.Equal(rt, i, at)
		}
		require.Equal(rt, len(got) == length, s.Ended())
	})
}

func TestParseRejectsTokenOfAnotherSecret(t *testing.T) {
	token := stream.Token{
		Endpoint: "e1",
		Attempt:  "a",
		Team:     "loom",
		Offset:   7,
	}
	text := stream.NewSigner([]byte("one")).Sign(token)
	got, err := stream.NewSigner([]byte("one")).Parse(text)
	require.NoError(t, err)
	require.Equal(t, token, got)
	_, err = stream.NewSigner([]byte("two")).Parse(text)
	require.Error(t, err)
}

func FuzzParse(f *testing.F) {
	signer := stream.NewSigner([]byte("secret"))
	f.Add(signer.Sign(stream.Token{
		Endpoint: "e1",
	}))
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := signer.Parse(text)
		if err == nil {
			require.GreaterOrEqual(t, token.Offset, 0)
		}
	})
}
