package oper_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/oper"
)

func TestTracePrintsCause(t *testing.T) {
	for _, c := range []struct {
		name, log, want string
	}{
		{
			name: "refused at admission",
			log:  "time=1 level=info event=refuse request=r1 team=loom reason=expected wait=900ms\n",
			want: "cause: refused before it was sent (expected wait 900ms of team loom): not run",
		},
		{
			name: "unknown outcome",
			log: "  2.1 n1 time=2 level=warn event=fail request=r1 endpoint=b1 attempt=1 cause=broken detail=\"read: connection \\\"reset\\\"\"\n" +
				"time=3 level=warn event=end request=r1 endpoint=b1 reason=lost run=unknown detail=\"look it up\"\n",
			want: `cause: lost, run=unknown: look it up; attempt 1 at b1: broken (read: connection "reset")`,
		},
		{
			name: "endpoint responded with an error",
			log: "time=2 level=warn event=fail request=r1 endpoint=b1 attempt=1 cause=refused detail=\"status 500\"\n" +
				"time=4 level=info event=end request=r1 endpoint=b2 status=500 first=3ms took=9ms\n",
			want: "cause: b2 itself answered with status 500 after 9ms; attempt 1 at b1: refused (status 500)",
		},
		{
			name: "unknown API key",
			log:  "time=1 level=warn event=refuse request=r1 reason=denied detail=\"the API key is not known\" site=13\n",
			want: "cause: refused before it was sent (denied under configuration 13): the API key is not known: not run",
		},
		{
			name: "body too large",
			log:  "time=1 level=warn event=refuse request=r1 reason=large detail=\"the body is over 9 bytes\"\n",
			want: "cause: refused before it was sent (large): the body is over 9 bytes: not run",
		},
		{
			name: "in flight at a restart",
			log: "time=0 event=start name=n1\ntime=1 event=route request=r1 endpoint=b1\n" +
				"time=2 level=warn event=fail request=r1 endpoint=b1 attempt=1 cause=full detail=\"status 503\"\ntime=3 event=route request=r1 endpoint=b2\n" +
				"time=4 event=start name=n1\ntime=5 event=start name=n1\n",
			want: "cause: the process of n1 was killed, or its machine lost power, before the request ended (it started anew at 4); attempt 1 at b1: full (status 503)",
		},
		{
			name: "served before a restart",
			log:  "time=1 event=route request=r1\ntime=2 level=info event=end request=r1 endpoint=b1 first=3ms took=9ms\ntime=4 event=start name=n1\n",
			want: "cause: served by b1 after 9ms, first byte after 3ms",
		},
		{
			name: "silent endpoint",
			log: "time=2 level=warn event=fail request=r1 endpoint=b1 attempt=1 begun=false cause=silent detail=none quiet=1.2s\n" +
				"time=3 level=warn event=fail request=r1 endpoint=b2 attempt=2 begun=true cause=broken detail=\"context canceled\" quiet=4.7s\n" +
				"time=4 level=warn event=end request=r1 reason=lost run=unknown detail=\"the caller left\"\n",
			want: "cause: lost, run=unknown: the caller left; attempt 1 at b1: silent (none), silent for 1.2s; " +
				"attempt 2 at b2: broken (context canceled), silent for 4.7s",
		},
		{
			name: "served",
			log:  "time=4 level=info event=end request=r1 endpoint=b1 first=3ms took=9ms\ntime=1 event=route request=r1\n",
			want: "cause: served by b1 after 9ms, first byte after 3ms",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "log")
			require.NoError(t, os.WriteFile(file, []byte(c.log+"time=9 event=end request=other reason=late\n"), 0o600))
			var stdout, stderr bytes.Buffer
			require.Zero(t, oper.Main([]string{"trace", "r1", file}, &stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), c.want)
		})
	}
}
