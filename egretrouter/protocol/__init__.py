"""Define the protocol between processes; the modules convert to and from the core's types."""
