"""What schedulers that know each other share: the size of their cluster, worker faults and drains."""
