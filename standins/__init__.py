"""Stand-ins for the systems around acacialatch, for tests and demonstrations."""
