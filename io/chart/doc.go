// Package chart draws measured days and the waiting times of their requests as one HTML page that needs no other file.
package chart
