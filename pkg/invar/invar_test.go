package invar_test

import (
	"fmt"

	"github.com/baobabtally/baobabtally/pkg/invar"
)

func Example() {
	defer invar.Hook(func(b invar.Violation) { fmt.Println(b.Error()) })()
	invar.Check(2 > 1, invar.NoRevert, "not printed")
	invar.Check(1 > 2, invar.NoRevert, "version %d after %d", 1, 2)
	fmt.Println(invar.Count(invar.NoRevert))
	// Output:
	// invariant norevert: version 1 after 2
	// 1
}
