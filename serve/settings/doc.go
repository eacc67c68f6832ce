// Package settings reads and checks the settings of one entry VM's daemon from
// flags and environment variables.
//
// Every setting can be given as a flag or as an environment variable. The
// variable has the flag's name in upper case, with the prefix AZURETHREAD_ and
// underscores for dashes: --call-addr is AZURETHREAD_CALL_ADDR. A flag takes
// precedence over the variable. All settings are checked before anything is
// started; the error names every invalid one.
package settings
