package invar_test

import (
	"fmt"

	"github.com/baobabtally/baobabtally/pkg/invar"
)

func Example() {
	defer invar.Hook(func(b invar.Breach) { fmt.Println(b.Error()) })()
	invar.That(2 > 1, invar.NoRevert, "not printed")
	invar.That(1 > 2, invar.NoRevert, "version %d after %d", 1, 2)
	fmt.Println(invar.Count(invar.NoRevert))
	// Output:
	// invariant norevert: version 1 after 2
	// 1
}
