package oper

import (
	"fmt"
	"io"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// output prints the results of commands, as text or as JSON.
type output struct {
	w    io.Writer
	json bool
}

// print prints m as JSON, or the text that write produces, with its columns
// aligned.
func (o output) print(m proto.Message, write func(w io.Writer)) error {
	if !o.json {
		t := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
		write(t)
		return t.Flush()
	}
	data, err := protojson.MarshalOptions{
		Multiline:       true,
		EmitUnpopulated: true,
	}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.w, string(data))
	return err
}

// printRow prints one line, with tabs between its columns.
func printRow(w io.Writer, columns ...any) {
	for i, c := range columns {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
