// Package entryfile parses the YAML or JSON files in which operators describe
// services and traffic shifts.
//
// A file is one mapping with the optional keys "services" and "shifts", each a
// list; docs/operators/catalogue.md documents every field. Parsing is strict:
// unknown and duplicate keys, wrong types, anchors, aliases and further
// documents are errors. All errors are reported at once, each with the path
// and line of its field, so that a file can be corrected in one pass.
//
// The content is validated by the rules of the administration API. A file that
// passes offline can later be refused only because of the content of the
// catalogue at that time.
package entryfile
