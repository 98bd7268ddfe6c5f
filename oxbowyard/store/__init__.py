"""What must outlive a crash: changes of jobs on disk, committed in groups on a thread of their own."""
