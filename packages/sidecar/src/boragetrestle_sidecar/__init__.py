"""The node: an entry beside the caller and a guard beside the target."""
