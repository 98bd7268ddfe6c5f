"""Service discovery: the watch of the endpoint list, and the registry of the listed endpoints."""
