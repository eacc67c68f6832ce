// Package capacity works out what each role of the system needs at a given
// size, from costs measured at smaller or equal sizes.
//
// The measured series are files of package slope: those of docs/capacity,
// which the package embeds as copies in data, or the ones named by a flag. A
// straight line is fitted to each series, and a figure at the asked size is
// the line's value there. Every figure says whether the size lies inside the
// measured range, outside of it (extrapolated), or whether the figure is
// arithmetic on stated assumptions (derived). A figure whose series is missing
// is reported as not measured; nothing stands in for it.
package capacity
