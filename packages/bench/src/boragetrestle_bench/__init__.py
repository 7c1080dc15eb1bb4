"""Benchmarks of boragetrestle with regression bounds."""
