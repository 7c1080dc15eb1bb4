"""Shared ids, settings, errors, messages and telemetry of boragetrestle."""
