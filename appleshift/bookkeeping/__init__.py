"""Tables of jobs, tasks and machines, and the write-ahead log that outlives a process."""
