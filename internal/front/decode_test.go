package front

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":"a"}]}`), true)
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"small","prompt":"a"}`), false)
	f.Add([]byte(`{"model":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		kind := chain.Text
		if chat {
			kind = chain.Chat
		}
		r, err := decode(chain.Request{
			Body: body,
		}, kind)
		if err != nil {
			require.Equal(t, fault.NotRun, fault.From(err).Run)
			return
		}
		require.NotEmpty(t, r.Model)
		require.Positive(t, r.Output)
	})
}

func FuzzLabels(f *testing.F) {
	f.Add("kind=check,batch=yes")
	f.Add("=,")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := parseLabels(text)
		if err == nil && text != "" {
			require.Positive(t, set.Len())
		}
	})
}
