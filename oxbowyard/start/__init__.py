"""How a scheduler starts: where its first list of workers comes from, how far to trust it, and when it may
ask the list service."""
