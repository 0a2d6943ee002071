"""Small stand-ins for the systems that acacialatch talks to."""
