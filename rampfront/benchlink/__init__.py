"""The adapter between the simulator's protocol and the decision module. It decides nothing."""
