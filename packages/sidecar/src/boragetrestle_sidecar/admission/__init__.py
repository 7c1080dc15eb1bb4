"""Decide at the entry what is admitted, and when refused callers return.

May import the messages and loads of the fleet, not guards, entry or store.
"""
