"""The operators' command ``boragetrestle``."""
