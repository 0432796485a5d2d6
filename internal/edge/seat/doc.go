// Package seat limits the streams of a group of engines and decides which requests get a seat under overload.
package seat
