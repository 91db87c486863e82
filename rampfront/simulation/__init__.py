"""Our own model: many nodes on a fake clock, and what may happen to them. Never imported by a serving process."""
