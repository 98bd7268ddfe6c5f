"""Jobs that wait: for other jobs, a time, a quiet fleet or room. Between the fronts and the core."""
