"""The scheduler of one term: heartbeats, job requests, commands and time in, actions out."""
