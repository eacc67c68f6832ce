// Package capacity works out what each role of the system needs at a given
// size, from costs measured at smaller or equal sizes.
//
// The measured series are files of package slope: those of docs/capacity,
// which the package embeds as copies in data, or the ones named by a flag. A
// straight line is fitted to each series. A figure is the measured one where a
// run had the asked size, and otherwise the line's value there. Every figure
// says whether it was measured, fitted within the measured sizes or
// extrapolated beyond them, or whether it is arithmetic on sizes, settings and
// other figures (derived). A figure whose series is missing is reported as not
// measured; nothing stands in for it.
package capacity
