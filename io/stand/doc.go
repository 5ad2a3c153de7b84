// Package stand provides test doubles with injectable faults for a model engine, a plain HTTP service and an instance
// list. The project calls them stand-ins.
package stand
