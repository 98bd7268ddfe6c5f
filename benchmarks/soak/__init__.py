"""A seeded soak: one real process of the program between stand-ins, under faults that a seed draws."""
