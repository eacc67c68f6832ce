// Package experiment is `azurethread experiment`: it plays patterns of load and
// faults in the emulator, with several seeds and with mechanisms of the
// decisions switched off, and compares what callers saw.
package experiment
