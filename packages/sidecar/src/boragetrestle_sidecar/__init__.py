"""Data path of the node: entry beside the caller, guard beside the target."""
