"""What schedulers that know each other make of it: their number, and workers' troubles that they share."""
