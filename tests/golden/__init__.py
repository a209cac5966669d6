"""Samples of what is stored and sent, as bytes; README.md says what each file is."""
