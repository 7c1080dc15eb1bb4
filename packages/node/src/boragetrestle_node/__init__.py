"""Overload control node that runs beside each target."""
