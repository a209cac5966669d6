"""Machines and jobs divided into shards, each with a leader of its own."""
