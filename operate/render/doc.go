// Package render prints what the administration API answers, as tables for
// people or as JSON for programs.
package render
