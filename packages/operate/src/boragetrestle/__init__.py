"""Operators command of boragetrestle."""
