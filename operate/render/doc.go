// Package render prints responses of the administration API as tables or as
// JSON.
package render
