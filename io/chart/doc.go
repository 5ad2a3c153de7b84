// Package chart draws the results of benchmark days and the durations of their requests as one HTML page that needs no
// other file.
package chart
