"""Service discovery: the list of workers, and the watch that keeps it up to date."""
