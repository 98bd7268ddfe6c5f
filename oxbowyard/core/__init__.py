"""The scheduler between the fronts and the backends. It is independent of any wire format."""
