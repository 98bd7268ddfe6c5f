"""How a scheduler begins: where its first list comes from, how far to trust it, whose turn it is."""
