"""Small stand-ins (test doubles) for the platform and for targets."""
