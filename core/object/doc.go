// Package object defines the configuration objects that operators declare, the JSON file format of changes to them, and
// the validation of a complete set of objects.
package object
