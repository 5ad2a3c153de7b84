// Package common defines the refusal and retry reasons, the request outcomes and the refusal error that other packages
// share.
package common
