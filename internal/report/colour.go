package report

import "image/color"

// colours are the line colours of the curves of a plot.
var colours = []color.Color{
	color.RGBA{
		R: 0x1f,
		G: 0x77,
		B: 0xb4,
		A: 0xff,
	},
	color.RGBA{
		R: 0xd6,
		G: 0x27,
		B: 0x28,
		A: 0xff,
	},
	color.RGBA{
		R: 0x2c,
		G: 0xa0,
		B: 0x2c,
		A: 0xff,
	},
	color.RGBA{
		R: 0x94,
		G: 0x67,
		B: 0xbd,
		A: 0xff,
	},
}
