// Package capacity calculates the resources that each role of the system needs
// at a given size, from costs measured at smaller or equal sizes.
//
// The measured series are files of package slope: those of docs/capacity,
// which the package embeds as copies in data, or the ones named by a flag. A
// line or a power law is fitted to each series. A figure is the measured value
// if a run had the requested size, and otherwise the value of the fit. The
// basis of every figure is stated: measured, fitted within the measured sizes,
// extrapolated beyond them, or derived by arithmetic on sizes, settings and
// other figures. A figure whose series is missing is reported as not measured;
// no default replaces it.
package capacity
