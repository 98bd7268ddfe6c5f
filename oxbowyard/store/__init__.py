"""Jobs on disk: records, the SQLite file, and the thread that commits in groups."""
