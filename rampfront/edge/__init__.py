"""The edge node's own: its configuration, the counter, discovery, the operators' address, its log; and the node, joined."""
