"""The start of a scheduler: the source of its first list of workers, how far to trust that list, and when to
request a new one from the list service."""
