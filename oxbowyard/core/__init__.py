"""The scheduler between a front and its backends. It knows no wire format."""
