"""State shared among the schedulers of a group: the cluster size, worker faults and drains."""
