// Package experiment implements `azurethread experiment`. It runs patterns of
// load and faults in the emulator, with several seeds and with single
// mechanisms of the decision code switched off, and compares the results that
// callers saw.
package experiment
