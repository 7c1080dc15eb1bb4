"""Clients of the platform table service and object store."""
