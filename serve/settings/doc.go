// Package settings reads and checks the settings of one entry VM's daemon from
// flags and environment variables.
//
// Every setting is a flag, and an environment variable of the same name in
// upper case with the prefix AZURETHREAD_ and underscores for dashes, so that
// --call-addr is AZURETHREAD_CALL_ADDR. A flag goes before the variable. The
// settings are checked as a whole before anything is started; an error names
// every setting that is wrong.
package settings
