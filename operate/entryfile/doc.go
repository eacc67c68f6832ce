// Package entryfile reads the files in which operators keep services and
// traffic shifts, as YAML or JSON.
//
// A file is one mapping with the keys "services" and "shifts", both optional,
// each a list; docs/operators/catalogue.md documents every field. Reading is
// strict: unknown and repeated keys, wrong types, anchors, aliases and further
// documents are errors. All errors are reported at once, each with the path of
// its field and its line, so that a file is corrected in one pass.
//
// The content is checked by the rules that the administration API applies, so
// a file that passes offline is refused later only for what the catalogue
// holds at that moment.
package entryfile
