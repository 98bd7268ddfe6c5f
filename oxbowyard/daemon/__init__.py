"""The daemon: its configuration, the composition of its subsystems, and its states from start to exit."""
