"""Clients of the platform: its table service and object store."""
