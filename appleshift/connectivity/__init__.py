"""Monitors which workers a node and its peers can reach, and hands over leadership if needed."""
